Feature: Faults of the data folder, the disk and the deployment key

  Scenario: A second process on the same data folder
    Guards against two processes that write to the same log.
    Given a control cluster of 1 replica
    When a second process is started on its data folder
    Then the second process ends and reports that another process uses the folder
    And the first process still accepts an edit

  Scenario: The last record of the log is torn
    Guards against a replica that does not start or that loses more than the torn
    record.
    Given a control cluster of 1 replica
    When the replica is killed after an edit and a partial record is appended to its log
    Then the replica starts, logs the truncated bytes and still has the edit
    And an edit accepted after the truncation is still there after another start

  Scenario Outline: The disk fails with <error>
    Guards against an edit that is accepted but not stored, and against a process that
    ends without an error message.
    Given a control cluster of 1 replica whose disk can be made to fail
    When an edit is accepted and the disk then fails with <error> during another edit
    Then the replica ends with status 1 and reports <report>
    And after a start on a working disk the accepted edit is there and further edits are accepted

    Examples:
      | error  | report                            |
      | ENOSPC | the disk is full                  |
      | EROFS  | the data folder cannot be written |

  Scenario: A replica with a wrong deployment key
    Guards against messages from processes outside the deployment.
    Given a control cluster of 3 replicas
    When a follower is restarted with another deployment key
    Then the other replicas refuse its connections and it does not receive a new edit
    And with the right key it catches up

  Scenario: A replica is lost while there is no traffic
    Guards against a lost replica that counts as synced because nothing was written
    since, and against a follower that answers with its own view of the replicas.
    Given a control cluster of 3 replicas
    When a follower is killed and nothing is written
    Then the leader does not count it as synced and reports that no further loss is survivable
    And only the leader lists the replicas
