Feature: Link to another node
  Guards against answers delivered to the wrong call, a lost connection reported as
  "not run", a truncated answer taken for a complete one, calls that leak on the link
  after they were cancelled, and a peer that gets no calls any more after it was silent.

  Scenario: Answers in any order are matched to their calls
    When 300 calls with random delays and deadlines share one link to a raw peer
    Then no call on the link got the answer of another one
    And some calls on the link expired and their late answers were counted
    And the link has no calls in flight

  Scenario: A second answer on a stream is not mixed with the first
    When a raw peer starts a streamed answer twice with different content
    Then the reader of the link's answer gets an error after at most the first content

  Scenario: Messages for unknown streams are ignored
    When a raw peer sends answers, parts and credits for unknown streams
    Then a call on that link still gets its own answer

  Scenario: A truncated answer ends with an error
    When a raw peer closes the connection in the middle of a streamed answer
    Then the reader of the link's answer gets an error after at most the first content

  Scenario: A lost connection leaves the outcome unknown
    When a raw peer closes the connection after it has received a call
    Then the link reports the call as failed and not as refused

  Scenario: Only an acknowledgement proves that an expired call did not run
    When a call expires while the peer acknowledges its cancellation
    And another call expires while the peer sends nothing
    Then the first expired call is refused and the second failed

  Scenario: A call cancelled while its cancellation is pending does not leak
    When an expired call is cancelled before the raw peer replies
    Then the link has no calls in flight

  Scenario: A silent peer that resumes after the last call has ended gets calls again
    When a raw peer reads nothing until the call of a link has failed
    And the raw peer reads again
    Then the link takes calls again

  Scenario: A link that is lost while its peer is silent does not count as unresponsive
    When a raw peer reads nothing until the call of a link has failed
    And the connection of the link is lost
    Then the link is closed and no longer unresponsive

  Scenario Outline: Replies with invalid fields close only that connection
    When a raw peer replies with <fault>
    Then the link reports a protocol error and the call as failed

    Examples:
      | fault               |
      | an unknown outcome  |
      | an unknown reason   |
      | negative tokens     |
      | too much credit     |

  # Guards against two nodes that never work together again, because the connection
  # between them has gone silent for good while new ones work.
  Scenario: A connection that falls silent for good is replaced
    When the connection of a link pool to a raw peer falls silent for good
    Then later calls reach the peer over a new connection

