Feature: Loss of data folders, cuts and restarts of replicas

  Scenario: A replica with a deleted data folder is repaired, then another one is lost
    Guards against a second vote under an old identity; also against a repair that is
    reported as complete before the new replica holds everything that was accepted.
    Given a control cluster of 3 replicas
    And a workload of edits and claims on the control cluster
    When the data folder of a following replica is deleted and the replica is started again
    Then it has a new identity and neither votes nor leads while it waits for admission
    And replicas wait of the operator's command reports that the repair is not complete
    When the operator's command removes the lost identity and admits the new one
    Then replicas wait of the operator's command reports that the repair is complete
    When the leading replica is killed for good right after the repair
    Then the workload goes on without the lost replica
    And everything that the control cluster accepted is still there

  Scenario: A leader is cut off for long without a signal
    Guards against a replica that keeps answering alone, nodes that stay with it, and a
    rejoining replica that ends the work of the new leader.
    Given a control cluster of 3 replicas behind relays
    And 3 nodes that have the table of the relayed control cluster
    When the relays of the leading replica stop all bytes and keep its connections open
    And operators race with edits at both sides of the cut
    Then only the side with the quorum accepts an edit
    And the nodes have the new table within 10 seconds
    When the cut has lasted longer than the links tolerate silence and is healed
    Then the healed replica follows without a change of leader and gets the edits
    And the loser of the race is told who won

  Scenario: All replicas restart after 500 edits
    Guards against a table, verdict or audit trail that a restart changes; also against a
    node whose version goes down meanwhile.
    Given a control cluster of 3 replicas
    And a node that watches the table of the control cluster
    When 500 edits are accepted and all replicas are killed and started again 2 times
    Then table, verdicts and audit trail of the control cluster are as before
    And no replica ever denied one of the verdicts
    And the version at the watching node never went down
