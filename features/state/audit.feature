Feature: The audit trail
  Guards against a change without an entry, an undetected modification of an entry, and
  a trail of unlimited size.

  Background:
    Given a fresh replicated state machine

  Scenario: Accepted and refused edits and replica changes have entries
    When operator "ana" edits the weight of row "default" to 20 with key "a" on version 1
    And operator "bea" sets weight=0 with key "b" on version 2
    And operator "eva" edits the weight of row "default" to 30 with key "c" on version 1
    And operator "eva" admits replica "r4" and it is "accepted"
    And operator "eva" admits replica "r5" and it is "refused"
    Then the audit trail has 5 entries
    And the audit trail reads ana edit accepted, bea edit refused, eva edit conflict
    And the audit trail ends with eva replica accepted, eva replica refused
    And audit entry 1 has the weight 10 before and 20 after
    And audit entry 2 names the invalid cell weight
    And audit entry 4 lists the replicas before and after
    And the audit trail passes verification

  Scenario Outline: A modified entry is detected
    When 6 edits are accepted one after the other
    Then the audit trail passes verification
    And modifying audit field <field> of entry 3 is detected at entry <found>

    Examples:
      | field           | found |
      | operator        | 3     |
      | time_ms         | 3     |
      | after           | 3     |
      | verdict         | 3     |
      | previous_sha256 | 3     |
      | sha256          | 3     |
      | resigned        | 4     |
      | removed         | 4     |

  Scenario: A snapshot with a modified entry is refused
    When 6 edits are accepted one after the other
    Then a state snapshot whose audit entry was modified is refused

  Scenario: The trail has a limited length and stays linked to the dropped entries
    Given a replicated state machine that keeps 10 audit entries
    When 25 edits are accepted one after the other
    Then the audit trail has 10 entries
    And the first retained audit entry is 16 and is linked to the dropped one
    And the audit trail passes verification
    When the replica is restored from its snapshot
    Then the audit trail passes verification

  Scenario: Entries are filtered and paginated
    When operator "ana" edits the weight of row "default" to 20 with key "a" on version 1
    And 1000 ms of log time pass
    And operator "bea" edits the weight of row "default" to 30 with key "b" on version 1
    And operator "eva" admits replica "r4" and it is "accepted"
    Then the audit filter operator=bea finds the entries 2
    And the audit filter verdict=accepted finds the entries 1, 3
    And the audit filter kind=replica finds the entries 3
    And the audit filter since_ms=1700000000001 finds the entries 2, 3
    And the audit filter until_ms=1700000000000 finds the entries 1
    And reading 1 audit entry after entry 1 gives entry 2
