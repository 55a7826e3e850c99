Feature: Server side of a link
  Guards against a cancelled call that is reported as "not run" and runs later, a call
  without a reply, a leaked stream, and malformed messages that affect other connections
  than their own.

  Scenario: A call cancelled in the same packet as its start
    When a session receives a call and its cancellation together
    Then the session acknowledges that the call did not run
    And the serving side was not asked to run it
    And the session has no calls in progress

  Scenario: A call cancelled while it waits for its start
    When a call is cancelled at a session before it is marked as started
    Then the session acknowledges that the call did not run
    And the session has no calls in progress

  Scenario: A call cancelled after its start
    When a call is cancelled at a session after it is marked as started
    Then the session acknowledges that the call ran
    And the session has no calls in progress

  Scenario: A call cancelled after its end
    When a call is cancelled at a session after its answer was sent
    Then the session sent the answer and no acknowledgement
    And the session has no calls in progress

  Scenario: An unexpected error gets one reply
    When the serving side of a session raises an unexpected error
    Then the session reports the call as failed
    And the session has no calls in progress

  Scenario: A truncated streamed answer ends with a failure
    When the answer of the serving side fails after its first part
    Then the session sent the first part and then a failure
    And the session has no calls in progress

  Scenario Outline: Malformed messages close their own connection only
    When a session receives <fault> while another session runs a call
    Then the first session's connection is closed
    And the call of the other session is answered

    Examples:
      | fault                        |
      | a stream id used before      |
      | a depth out of bounds        |
      | an unknown size class        |
      | a budget that is no number   |
      | a part beyond the window     |
      | too much credit              |
      | an answer                    |
