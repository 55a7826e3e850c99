Feature: Requests of operators to the replicas

  Scenario: Two operators make conflicting edits, lose the answers and resend
    Guards against two accepted edits of one version, and against a resent edit that gets
    another verdict.
    Given a control cluster of 3 replicas
    When two operators edit the same version while a relay drops the answers
    And both operators resend their edits to every replica
    Then one edit was accepted and the verdict of the other one names the winner
    When the leader is killed and both operators resend their edits
    Then both operators get the same verdicts as before
    When all replicas are restarted and both operators resend their edits
    Then both operators get the same verdicts as before
    And the table of the control cluster was changed only once

  Scenario: Requests without a valid token
    Guards against edits and reads by anyone who is not an operator.
    Given a control cluster of 1 replica
    When requests with no token and with a wrong token are sent to the paths of the replica
    Then each of the requests is refused with status 401 and nothing was changed

  Scenario: Only the operator address accepts edits
    Guards against edits from callers and backend servers.
    Given a control cluster of 1 replica
    When an operator sends an edit with a valid token to the caller, announce and metrics address of a node
    Then none of these addresses accepts it and nothing was changed

  Scenario: A follower does not answer for the audit trail from its own state
    Guards against an audit trail that lacks an edit which was acknowledged before the
    read, because the replica that is asked has not applied it yet.
    Given a control cluster of 3 replicas
    When an operator makes an edit and reads the audit trail at every replica
    Then only the leader returns the audit trail, and the others name no entries
    And a local read returns the state of each replica
