Feature: A node's view of the members
  Guards against old updates that bring back a member that is gone or left, against a
  registry replica that has lost its state, and against the loss of the whole registry.

  Scenario Outline: Duplicated and reordered updates from two sources end in the last state
    Given a history of 40 changes, restarts and ends for each of 12 members, seed <seed>
    When both registry replicas send all of it twice, in random order
    Then the view holds exactly the last state of each member
    And old updates arrived after newer ones

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A member is dropped only when all sources lack it
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

  Scenario: A source that never answered holds back a drop until it is replaced
    Given a view that knows members "m1" and "m2" from sources "r1" and "r2"
    When the sources are set to "r1 r3"
    And "r1" restarts and sends a full update without members
    Then the view holds members "m1 m2" and reported no change
    When the sources are set to "r1"
    And "r1" restarts and sends a full update without members
    Then the view holds members "" and reported a change

  Scenario: A source that lists a member again holds back its drop
    Given a view that knows members "m1" and "m2" from sources "r1" and "r2"
    When "r1" restarts and sends a full update without members
    And "r1" sends an incremental update with "m1" at sequence 0
    And "r2" restarts and sends a full update without members
    Then the view holds members "m1" and reported a change

  Scenario: An explicit end drops the member, unless it is older than the known state
    Given a view that knows members "m1" and "m2" from sources "r1" and "r2"
    When "r2" reports "m1" as gone at sequence 0
    Then the view holds members "m1 m2" and reported no change
    When "r2" reports "m1" as gone at sequence 1
    Then the view holds members "m2" and reported a change

  Scenario: Heartbeats are no change, and a faulty update changes nothing
    Given a view that knows members "m1" and "m2" from sources "r1" and "r2"
    When "r1" sends an incremental update with "m1" at sequence 5
    Then the view holds members "m1 m2" and reported no change
    And an update with a new member and a faulty one is refused as a whole, for each fault
