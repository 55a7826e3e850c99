Feature: The policy table
  Guards against a partly applied edit, an invalid cell that is accepted and a request
  that is matched to the wrong row.

  Scenario: A new table has the default row
    Given a new table
    Then the table has version 1
    And a "GET" call of "/x" to service "tariffs" matches row "default"

  Scenario: An edit with several invalid cells reports each of them and changes nothing
    Given a new table
    When the table edit adds row "read" with cells weight=0, retries=11, colour=red
    Then the table edit is refused for the cells weight, retries, colour
    And the table has version 1

  Scenario: An invalid operation prevents the whole edit
    Given a new table
    When the table edit adds row "read" with cells weight=5 and drops row "default"
    Then the table edit is refused for the cells name
    And the table has no row "read"

  Scenario Outline: The most specific row is used
    Given a new table
    And the table row "any-get" with cells service=*, method=GET
    And the table row "tariffs" with cells service=tariffs
    And the table row "tariffs-deep" with cells service=tariffs, path_prefix=/v1/deep
    And the table row "tariffs-post" with cells service=tariffs, method=POST
    Then a "<method>" call of "<path>" to service "<service>" matches row "<row>"

    Examples:
      | method | path         | service | row          |
      | GET    | /v1          | tariffs | tariffs      |
      | POST   | /v1          | tariffs | tariffs-post |
      | POST   | /v1/deep/x   | tariffs | tariffs-deep |
      | GET    | /            | audits  | any-get      |
      | DELETE | /            | audits  | default      |

  Scenario: A delta holds only the changes and reproduces the table
    Given a new table
    And the table row "read" with cells weight=7
    And the table row "write" with cells weight=9
    When the table edit adds row "late" with cells weight=1 and drops row "read"
    Then the delta from the previous table has 1 changed and 1 dropped row
    And the delta read back from its JSON reproduces the table
    And the delta is refused by a table of another version

  Scenario: A table is unchanged by a JSON round trip
    Given a new table
    And the table row "read" with cells weight=7, repeatable=yes, size_class=long
    Then the table read back from its JSON is equal

  Scenario Outline: A request that names a host is matched by the longest prefix
    Given a new table
    And the table row "all" with cells host=toll.example, path_prefix=/, targets=tariffs:1
    And the table row "deep" with cells host=toll.example, path_prefix=/a/b/, targets=audits:1
    And the table row "other" with cells host=else.example, path_prefix=/a/, targets=audits:1
    Then a request of "<path>" to host "<host>" matches row "<row>"

    Examples:
      | host         | path       | row   |
      | toll.example | /a/b/c?x=/ | deep  |
      | TOLL.example | /a/b       | all   |
      | toll.example | /a/x/b/    | all   |
      | else.example | /a/        | other |
      | else.example | /b/        | none  |
      | none.example | /a/        | none  |

  Scenario Outline: Invalid targets are refused
    Given a new table
    When the table edit adds row "read" with cells host=toll.example, targets=<targets>
    Then the table edit is refused for the cells targets

    Examples:
      | targets       |
      | tariffs       |
      | tariffs:0     |
      | tariffs:-1    |
      | tariffs:1;x:1 |
