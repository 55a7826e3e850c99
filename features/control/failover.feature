Feature: Loss and suspension of a leader

  Scenario: Leaders are killed during edits and claims
    Guards against an accepted edit or a granted claim that is missing at a new leader.
    Also guards against two attempts that are both granted the same key.
    Given a control cluster of 3 replicas
    And a workload of edits and claims on the control cluster
    When the leader is killed and restarted 2 times under the workload
    Then everything that the control cluster accepted is still there
    And all replicas have the same audit trail of the workload

  Scenario: A suspended leader gives no stale answers when it resumes
    Guards against answers from the old state of a process that has not noticed its
    successor, and against a 404 for the verdict of an edit that the successor accepted.
    Given a control cluster of 3 replicas
    When the leader is suspended until another replica leads
    And an edit is accepted by its successor while reads of the table and queries of its verdict wait at the suspended replica
    And the suspended replica resumes
    Then the waiting reads of the table do not return the old version
    And no waiting query of the verdict is answered that there is no such edit
    And an edit of the old version is not accepted by the resumed replica and conflicts at the leader
    And the resumed replica follows the successor within the time limit of the test

  Scenario: Without a quorum no edit or claim is accepted
    Guards against edits and claims that a single replica of three accepts. It may have
    been the leader or a follower.
    Given a control cluster of 3 replicas
    And a node that serves a repeatable and a claimed row of the control cluster
    When two of the three replicas are killed
    Then edits of the control cluster get the verdict unknown or are refused
    And claims of the control cluster get no verdict
    And the remaining replica does not answer that an edit does not exist
    And the node still serves the repeatable row and answers the claimed row as unknown without running it
    When the two killed replicas are restarted
    Then edits and claims of the control cluster are accepted again
