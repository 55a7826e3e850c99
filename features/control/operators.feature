Feature: Operators at the replicas

  Scenario: Two operators race, their answers are lost, and they resend
    Guards against two winners of one version; also against a resend that is judged anew.
    Given a control cluster of 3 replicas
    When two operators edit the same version while a relay swallows their answers
    And both operators resend their edits to every replica
    Then one edit was accepted and the other one is told who won
    When the leading replica is lost and both operators resend their edits
    Then both operators get their first verdicts again
    When all replicas are started again and both operators resend their edits
    Then both operators get their first verdicts again
    And the table of the control cluster was changed once

  Scenario: Requests without a valid token
    Guards against edits or reads by somebody who is not an operator.
    Given a control cluster of 1 replica
    When requests with no token and with a wrong token are sent to every path of the replica
    Then each of the requests is refused with status 401 and nothing was changed

  Scenario: Only the operator address takes edits
    Guards against edits from callers and backend servers.
    Given a control cluster of 1 replica
    When an operator sends an edit with a valid token to every address of a node
    Then no address of the node takes it and nothing was changed
