Feature: A call leaves a full server before it waits
  Guards against calls that fail in the queue of a full server while others have free
  slots. Pattern: long calls fill the few slots of single servers of a service that all
  chains call, at two thirds of the slots of the service, and callers pick a server with
  outdated knowledge of its load.

  Scenario: A call that may move on is refused at once by a full server
    Given a full server with 9 slots and calls of 100 ms
    When a call that may move on and one that may not arrive there
    Then the first is refused for overload at once and the second is queued
    And the first does not count as shed

  Scenario: A call that may move on starts at a server with a free slot
    Given a server with 9 slots and a free one
    When a call that may move on arrives there
    Then it starts

  Scenario: Fewer short calls fail if they may leave a full server once
    Given 60 servers with 9 slots
    When for 10 s 143 calls of 1376 ms and 1600 calls of 100 ms a second pick a server at random
    Then fewer short calls fail for their deadline of 700 ms if calls may move on once
