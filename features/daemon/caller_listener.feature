Feature: Listener for callers
  Guards against a shutdown that is blocked by an open connection.

  Scenario: An idle keep-alive connection does not delay the shutdown
    Given a caller listener with an idle keep-alive connection
    When the caller listener is closed
    Then the caller listener was closed within 10 s
    And the idle connection was closed by the caller listener
