Feature: Callers that stop sending in the middle of a body
  Guards against requests that never end because their caller sends the body slowly or
  stops, and against a truncated body that is taken for a complete one.

  Scenario: A caller that stops in the middle of a short body
    When a caller of a listener with a short read timeout stops after half of 50 bytes
    Then the caller is told that its request is invalid and did not run
    And the entry service of the listener received no request

  Scenario: A caller that stops in the middle of a long body
    When a caller of a listener with a short read timeout stops after half of 200000 bytes
    Then the entry service of the listener got an error and no end of the body
