Feature: Circuit breaker in front of a backend server
  Guards against retries caused by a backend server that sheds all calls without overload,
  against a breaker that stays open after the cause has ended, and against one that cuts
  off a backend server which sheds few calls.

  # 22 refusals open the breaker; the other calls that reach the backend server are
  # probes, after the first few about one every 500 ms.
  Scenario Outline: Calls that reach a backend server which sheds all of them: <bound>
    Given a "<breaker>" circuit breaker in front of a backend server
    When 1000 calls a second arrive for 8 s while it sheds 100 percent of them
    Then <bound> calls were shed by the backend server

    Examples:
      | breaker | bound         |
      | breaker | at most 50    |
      | closed  | at least 7900 |

  Scenario: The breaker passes all calls within a second after the cause has ended
    Given a "breaker" circuit breaker in front of a backend server
    When 1000 calls a second arrive for 8 s while it sheds 100 percent of them
    And 1000 calls a second arrive for 1 s while it sheds 0 percent of them
    And 1000 calls a second arrive for 1 s while it sheds 0 percent of them
    Then all calls of the last step were sent

  Scenario: A backend server that sheds few calls still receives nearly all calls
    Given a "breaker" circuit breaker in front of a backend server
    When 1000 calls a second arrive for 8 s while it sheds 10 percent of them
    Then 90 percent of the calls or more were sent

  Scenario: A new incarnation starts without the state of the previous one
    Given a "breaker" circuit breaker in front of a backend server
    When 1000 calls a second arrive for 8 s while it sheds 100 percent of them
    And the circuit breaker is reset
    And 1000 calls a second arrive for 1 s while it sheds 0 percent of them
    Then all calls of the last step were sent
