Feature: Edits of the replicated table
  Guards against an edit that reverts another edit, is applied twice after a lost reply,
  or is refused without a reason.

  Background:
    Given a fresh replicated state machine

  Scenario: Of two edits on one version the first wins and the second names the winner
    When operator "ana" edits the weight of row "default" to 20 with key "a" on version 1
    Then the state edit is accepted at version 2
    When operator "bea" edits the weight of row "default" to 30 with key "b" on version 1
    Then the state edit is a conflict won by "ana" with key "a"
    And the replicated weight of row "default" is 20

  Scenario: A late edit names the winner of its base version
    When operator "ana" edits the weight of row "default" to 20 with key "a" on version 1
    And operator "bea" edits the weight of row "default" to 30 with key "b" on version 2
    And operator "eva" edits the weight of row "default" to 40 with key "c" on version 1
    Then the state edit is a conflict won by "ana" with key "a"

  Scenario: A resent edit gets its stored verdict after a restart
    When operator "ana" edits the weight of row "default" to 20 with key "a" on version 1
    And operator "bea" edits the weight of row "default" to 30 with key "b" on version 2
    And the replica is restored from its snapshot
    And operator "ana" edits the weight of row "default" to 20 with key "a" on version 1
    Then the state edit is accepted at version 2
    And the replicated weight of row "default" is 30
    And the verdict of edit key "a" is known
    And the audit trail has 2 entries

  Scenario: A resent losing edit stays a conflict
    When operator "ana" edits the weight of row "default" to 20 with key "a" on version 1
    And operator "bea" edits the weight of row "default" to 30 with key "b" on version 1
    And operator "bea" edits the weight of row "default" to 30 with key "b" on version 1
    Then the state edit is a conflict won by "ana" with key "a"
    And the audit trail has 2 entries

  Scenario: An edit key with other content is refused
    When operator "ana" edits the weight of row "default" to 20 with key "a" on version 1
    And operator "ana" edits the weight of row "default" to 21 with key "a" on version 2
    Then the state edit is refused naming the cells edit_key
    And the replicated weight of row "default" is 20

  Scenario: Every invalid cell is named
    When operator "ana" sets weight=0, retries=11, colour=red with key "a" on version 1
    Then the state edit is refused naming the cells weight, retries, colour
    And the replicated weight of row "default" is 10

  Scenario: An edit of a version that does not exist is refused
    When operator "ana" edits the weight of row "default" to 20 with key "a" on version 7
    Then the state edit is refused naming the cells base_version

  Scenario: The verdict of an edit key is kept for 24 h of log time
    When operator "ana" edits the weight of row "default" to 20 with key "a" on version 1
    And 86400000 ms of log time pass
    Then the verdict of edit key "a" is known
    When 1 ms of log time pass
    Then the verdict of edit key "a" is not known

  Scenario: An edit key reused after 24 h does not block the pruning of older verdicts
    When operator "ana" edits the weight of row "default" to 20 with key "a" on version 1
    And operator "ana" edits the weight of row "default" to 30 with key "b" on version 2
    And 86400001 ms pass without a command
    And operator "ana" edits the weight of row "default" to 40 with key "a" on version 3
    Then the state edit is accepted at version 4
    And the snapshot holds the verdicts of the edit keys a

  Scenario: The last 100 versions are retained for diff
    When 150 edits are accepted one after the other
    Then the table versions 52 to 151 are retained and 51 is not
    And the retained table versions are the same after a restart

  Scenario: Of two replacements on one revision only the first is accepted
    When the table is replaced by revision 5 on 0 with weight 20
    Then the replacement is accepted
    When the table is replaced by revision 7 on 5 with weight 30
    And the table is replaced by revision 7 on 5 with weight 40
    Then the replacement is a conflict
    And the replicated weight of row "default" is 30
    And the replicated source is "revision 7 weight 30"

  Scenario: An accepted replacement is accepted again after a later one and a restart
    When the table is replaced by revision 5 on 0 with weight 20
    And the table is replaced by revision 7 on 5 with weight 30
    And the replica is restored from its snapshot
    And the table is replaced by revision 5 on 0 with weight 20
    Then the replacement is accepted
    And the replicated weight of row "default" is 30
    And the replicated source is "revision 7 weight 30"

  Scenario: A refused replacement is accepted once its base revision is in place
    When the table is replaced by revision 7 on 5 with weight 30
    Then the replacement is a conflict
    When the table is replaced by revision 5 on 0 with weight 20
    And the table is replaced by revision 7 on 5 with weight 30
    Then the replacement is accepted

  Scenario: A replacement with a lower revision or an invalid cell changes nothing
    When the table is replaced by revision 5 on 0 with weight 20
    And the table is replaced by revision 4 on 5 with weight 30
    Then the replacement is refused
    When the table is replaced by revision 6 on 5 with weight 3000
    Then the replacement is refused
    And the replicated weight of row "default" is 20
