Feature: The link to another node
  Guards against answers that reach the wrong caller, a broken connection that is
  reported as "not run", a part of an answer that is taken for the whole, and calls
  that stay behind on the link after their callers have left.

  Scenario: Answers in any order reach the calls that they belong to
    When 300 calls with random delays and deadlines share one link to a raw peer
    Then no call on the link got the answer of another one
    And some calls on the link met their deadline and their late answers were counted
    And the link holds no call any more

  Scenario: A second answer on a stream does not mix with the first
    When a raw peer starts a streamed answer twice with different content
    Then the reader of the link's answer gets an error after at most the first content

  Scenario: Messages for unknown streams disturb nothing
    When a raw peer sends answers, parts and credits for streams that never were
    Then a call on that link still gets its own answer

  Scenario: An answer that breaks off is not complete
    When a raw peer closes the connection in the middle of a streamed answer
    Then the reader of the link's answer gets an error after at most the first content

  Scenario: A connection that breaks leaves the outcome unknown
    When a raw peer closes the connection after it has received a call
    Then the link reports the call as failed and not as refused

  Scenario: Only the peer's acknowledgement proves that an expired call did not run
    When a call expires while the peer acknowledges its cancellation
    And another call expires while the peer says nothing
    Then the first expired call is refused and the second failed

  Scenario: A caller that leaves while its cancellation is pending leaves nothing
    When the caller of an expired call leaves before the raw peer replies
    Then the link holds no call any more

  Scenario Outline: Replies with invalid fields close only that connection
    When a raw peer replies with <fault>
    Then the link reports a protocol error and the call as failed

    Examples:
      | fault               |
      | an unknown outcome  |
      | an unknown reason   |
      | negative tokens     |
      | too much credit     |
