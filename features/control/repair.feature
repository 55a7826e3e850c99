Feature: Loss of data folders, network partitions and restarts of replicas

  Scenario: A replica whose data folder was deleted is replaced, then another one is lost
    Guards against a second vote under an old identity, and against a repair that is
    reported as complete before the new replica holds everything that was accepted.
    Given a control cluster of 3 replicas
    And a workload of edits and claims on the control cluster
    When the data folder of a follower is deleted and the replica is restarted
    Then it has a new identity and neither votes nor leads while it waits to be admitted
    And the replicas wait command reports that the repair is not complete
    When the operator removes the lost identity and admits the new one by command
    Then the replicas wait command reports that the repair is complete
    When the leader is killed right after the repair and not restarted
    Then the workload continues without the lost replica
    And everything that the control cluster accepted is still there

  Scenario: A leader is partitioned while its connections stay open
    Guards against a partitioned leader that accepts edits, nodes that stay connected to
    it, and a rejoining replica that disrupts the new leader.
    Given a control cluster of 3 replicas behind relays
    And 3 nodes that have the table of the relayed control cluster
    When the relays of the leader forward no bytes and keep its connections open
    And operators send conflicting edits to both sides of the partition
    Then only the side with the quorum accepts an edit
    And the nodes have the new table within 10 seconds
    When the partition heals after it has lasted longer than the silence limit of the links
    Then the replica rejoins without a change of leader and gets the edits
    And the verdict of the conflicting edit names the winner

  Scenario: All replicas restart after 500 edits
    Guards against a table, verdict or audit trail that changes with a restart, and
    against a node whose table version goes down meanwhile.
    Given a control cluster of 3 replicas
    And a node whose table version is watched
    When 500 edits are accepted and all replicas are killed and restarted 2 times
    Then table, verdicts and audit trail of the control cluster are as before
    And no replica ever answered that the last edit does not exist
    And the table version at the watched node never went down
