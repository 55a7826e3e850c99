Feature: Listener for callers
  Guards against a shutdown that never ends.

  Scenario: An idle keep-alive connection does not hold up the end of the process
    Given a caller listener with an idle keep-alive connection
    When the caller listener is closed
    Then the close of the caller listener ended within 10 s
    And the idle connection was closed by the caller listener
