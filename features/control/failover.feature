Feature: Loss and freeze of a leader

  Scenario: Leaders are killed during edits and claims
    Guards against an accepted edit or a granted claim that a new leader does not know;
    also against two attempts that are both granted one key.
    Given a control cluster of 3 replicas
    And a workload of edits and claims on the control cluster
    When the leading replica is killed and started again 2 times under the workload
    Then everything that the control cluster accepted is still there
    And all replicas have the same audit trail of the workload

  Scenario: A leader that was frozen does not answer as if it still led
    Guards against answers from the old state of a process that did not see its successor;
    also against a 404 for the verdict of an edit that its successor accepted.
    Given a control cluster of 3 replicas
    When the leading replica is frozen until another one leads
    And an edit is accepted by its successor and reads of the table and queries of its verdict wait at the frozen one
    And the frozen replica goes on
    Then the waiting reads of the table get no old version
    And no waiting query of the verdict says that there is no such edit
    And an edit sent only to the frozen replica is not accepted a second time
    And within its time-out the frozen replica follows the successor

  Scenario: Without a quorum nothing is promised
    Guards against edits and claims that one replica of three accepts alone.
    Given a control cluster of 3 replicas
    And a node that serves a repeatable and a claimed row of the control cluster
    When two of the three replicas are killed
    Then edits of the control cluster are answered as unknown or not at all
    And claims of the control cluster get no verdict
    And the verdict of an edit is not denied by the remaining replica
    And the node still serves the repeatable row and answers the claimed row as unknown without a run
    When the two killed replicas are started again
    Then edits and claims of the control cluster are accepted again
