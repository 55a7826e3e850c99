Feature: Callers that stop in the middle of their bodies
  Guards against callers that send their body slowly or stop in the middle: they must
  neither hold a request for ever nor have a part of their body taken for the whole.

  Scenario: A caller that stops in the middle of a short body
    When a caller of a listener with a short silence limit stops after half of 50 bytes
    Then the stopped caller is told that its request is bad and did not run
    And the entry behind the listener was asked nothing

  Scenario: A caller that stops in the middle of a long body
    When a caller of a listener with a short silence limit stops after half of 200000 bytes
    Then the entry behind the listener got an error instead of the end of the body
