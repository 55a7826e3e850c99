Feature: The stand-in backend server
  Guards against a stand-in that is kinder than a real server: more work at once than
  its slots, a crash that loses the start of a run, work that goes on after its caller
  has left, and a drain that cuts off requests.

  Background:
    Given a stand-in server with 2 slots where "/slow" takes 400 ms and "/" takes 20 ms

  Scenario: Work beyond the slots waits
    When 5 requests of "/slow" are sent to the stand-in at once
    Then the stand-in ran 5 runs to their end
    And at most 2 runs of the stand-in overlapped at any time

  Scenario: The marker crashes the process and the start of the run is on record
    When a request of "/a" whose body holds the stand-in's crash marker is sent
    Then the stand-in's process ended with status 70
    And the stand-in's run log holds 1 run without an end

  Scenario: Closing the connection cancels the run
    When a request of "/slow" to the stand-in is given up after 100 ms
    Then the stand-in's run log shows the result "cancelled"

  Scenario: A request that waits for a slot and is given up never runs
    When 2 requests of "/slow" occupy the stand-in and a third is given up after 100 ms
    Then the stand-in ran 2 runs to their end

  Scenario: A drain is announced and finishes what is in flight
    When a request of "/slow" is in flight at the stand-in while it is told to drain
    Then that request got the complete answer
    And the stand-in's node heard the state "draining"
    And the stand-in's process ended with status 0

  Scenario: A deadline ends the run
    When a request of "/slow" is sent to the stand-in with a deadline of 100 ms
    Then the stand-in answered with status 504
    And the stand-in's run log shows the result "cancelled"
