Feature: A node's view of the members of a service
  Guards against stale updates that restore a removed member, and against a registry
  replica that has lost its state.

  Scenario Outline: Duplicated and reordered updates from two sources converge to the last state
    Given a history of 40 changes, restarts and ends for each of 12 members, seed <seed>
    When both registry replicas send the whole history twice, in random order
    Then the view holds exactly the last state of each member
    And stale updates arrived after newer ones

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A member is removed only when no source lists it
    Given a view that knows members "m1" and "m2" from sources "r1" and "r2"
    When "r1" restarts and sends a full update without members
    Then the view holds members "m1 m2" and reported no change
    When "r1" sends a full update with "m2" at sequence 2
    And "r2" sends a full update with "m2" at sequence 2
    Then the view holds members "m2" and reported a change
    When "r1" sends an incremental update with "m1" at sequence 1
    Then the view holds members "m2" and reported no change
    When "r1" sends an incremental update with "m1" at sequence 3
    Then the view holds members "m1 m2" and reported a change

  Scenario: A source without a full update prevents removals while it is listed
    Given a view that knows members "m1" and "m2" from sources "r1" and "r2"
    When the sources are set to "r1 r3"
    And "r1" restarts and sends a full update without members
    Then the view holds members "m1 m2" and reported no change
    When the sources are set to "r1"
    And "r1" restarts and sends a full update without members
    Then the view holds members "" and reported a change

  Scenario: A source that lists a member again prevents its removal
    Given a view that knows members "m1" and "m2" from sources "r1" and "r2"
    When "r1" restarts and sends a full update without members
    And "r1" sends an incremental update with "m1" at sequence 0
    And "r2" restarts and sends a full update without members
    Then the view holds members "m1" and reported a change

  Scenario: A report that a member is gone removes it, unless the report is stale
    Given a view that knows members "m1" and "m2" from sources "r1" and "r2"
    When "r2" reports "m1" as gone at sequence 0
    Then the view holds members "m1 m2" and reported no change
    When "r2" reports "m1" as gone at sequence 1
    Then the view holds members "m2" and reported a change

  Scenario: An unchanged member reports no change, and an invalid update is rejected as a whole
    Given a view that knows members "m1" and "m2" from sources "r1" and "r2"
    When "r1" sends an incremental update with "m1" at sequence 5
    Then the view holds members "m1 m2" and reported no change
    And an update with a new member and an invalid one is rejected as a whole, for each fault
