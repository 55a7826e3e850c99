Feature: Faults of data folders and keys in real processes

  Scenario: A second process on the same data folder
    Guards against two processes that write one log.
    Given a control cluster of 1 replica
    When a second process is started on its data folder
    Then the second process ends and reports that another process uses the folder
    And the first process still accepts an edit

  Scenario: A torn last record
    Guards against a replica that does not start, or loses more than the torn record.
    Given a control cluster of 1 replica
    When the replica is killed after an edit and a part of a record is added to its log
    Then the replica starts, logs what it cut off, and still has the edit
    And what it writes after the cut is there after one more start

  Scenario Outline: The disk fails with <error>
    Guards against an edit that is accepted but not stored; also against a silent stop.
    Given a control cluster of 1 replica whose disk can be made to fail
    When an edit is accepted and the disk then fails with <error> during another edit
    Then the replica ends with status 1 and reports <report>
    And after a start on a working disk the accepted edit is there and edits go on

    Examples:
      | error  | report                            |
      | ENOSPC | the disk is full                  |
      | EROFS  | the data folder cannot be written |

  Scenario: A replica with a wrong deployment key
    Guards against messages of processes that do not belong to the deployment.
    Given a control cluster of 3 replicas
    When a following replica is started again with another deployment key
    Then the others refuse its connections and it learns nothing of a new edit
    And with the right key it catches up

  Scenario: A replica is lost while there is no traffic
    Guards against a replica that counts as synced because nothing was written since.
    Given a control cluster of 3 replicas
    When a following replica is killed and nothing is written
    Then the leader does not count it as synced and survives no further loss
    And only the leader describes the replicas
