Feature: Configurations of the platform's operators
  Guards against an invalid configuration that is accepted and a route that is converted
  to a row with another meaning.

  Scenario: A route is converted to a row
    Given a configuration with a safe and an unsafe route
    When it is decoded
    Then its version is 7 and its base 5
    And row "r-safe" has host "hulo84.example", prefix "/leny950/" and targets "huvo11a:90,lovo22d:10"
    And row "r-safe" is repeatable with 2 attempts, deadline 1000 ms and objective 1500 ms
    And row "r-unsafe" is not repeatable, needs no claim and has a higher weight than row "r-safe"
    And the default row has a body limit of 67108864 bytes and an idle timeout of 15000 ms

  Scenario: A resent configuration has the same digest
    Given a configuration with a safe and an unsafe route
    Then its digest does not depend on the order of its fields

  Scenario Outline: Invalid configurations are refused
    Given a configuration with a safe and an unsafe route
    When it is made invalid by "<fault>"
    Then decoding it fails

    Examples:
      | fault                     |
      | cut short                 |
      | unknown service           |
      | unknown weighted service  |
      | same host and prefix      |
      | same name                 |
      | weights of 0              |
      | objective a minute above  |
      | prefix without a slash    |
      | timeout without a unit    |
      | version as a number       |
      | unknown kind              |
      | resources as an object    |
      | kind as a list            |
      | deep nesting              |

  Scenario: Decoding damaged input gives a configuration or an invalid-input error
    Then decoding 300 damaged configurations gives a configuration or an invalid-input error

  # Guards against a configuration that is neither acknowledged nor refused: its command is
  # longer than a log entry may be.
  Scenario: A large configuration that the interface takes can be stored
    Given a configuration with 2800 routes
    When it is decoded
    Then its command fits into a log entry

  # The target size has 340 services.
  Scenario: 10,000 routes are stored, restored and sent to nodes
    Given a configuration with 10000 routes
    When it is decoded
    Then its command fits into a log entry
    When a replica applies its command and another one restores its snapshot
    Then both have the same 10003 rows, source and audit trail
    And a node without a table, and one with an earlier table, get it in one message each

  Scenario Outline: A configuration that is too large gets a clear answer
    When a configuration of <size> is put
    Then it is answered 413 and the log says why

    Examples:
      | size                                  |
      | more bytes than the interface takes   |
      | more than a log entry holds           |

  Scenario: Entries of earlier releases are read
    Given a configuration with 10 routes
    When it is decoded
    Then its command is also read from an entry of an earlier release

