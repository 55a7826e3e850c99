Feature: The serving side of a link
  Guards against a cancelled call that is reported as "not run" and runs later, a call
  without any reply, a stream that is never given up, and malformed messages that
  disturb more than their own connection.

  Scenario: Cancelled in the same packet as its start
    When a call and its cancellation reach a session together
    Then the session acknowledges that the call did not run
    And the serving side was not asked to run it
    And the session has nothing in progress

  Scenario: Cancelled while it waits for its start
    When a call is cancelled at a session before it is marked as started
    Then the session acknowledges that the call did not run
    And the session has nothing in progress

  Scenario: Cancelled after its start
    When a call is cancelled at a session after it is marked as started
    Then the session acknowledges that the call ran
    And the session has nothing in progress

  Scenario: Cancelled after its end
    When a call is cancelled at a session after its answer was sent
    Then the session sent the answer and no acknowledgement
    And the session has nothing in progress

  Scenario: An unexpected error has one reply
    When the serving side of a session raises an unexpected error
    Then the session reports the call as failed
    And the session has nothing in progress

  Scenario: A streamed answer that breaks off ends in a failure
    When the answer of the serving side breaks off after its first part
    Then the session sent the first part and then a failure
    And the session has nothing in progress

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
