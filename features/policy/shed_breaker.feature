Feature: A node holds calls back while its backend server turns them away
  Guards against second sends that a backend server under the wrong impression of its load
  causes, against a breaker that stays open after the cause, and against one that cuts off
  a backend server which turns few requests away.

  # The budget of second sends leaves 50 in 10 s beyond its share of first ones.
  Scenario Outline: Of the calls to a backend server that sheds all, <bound> reach it
    Given a "<breaker>" breaker in front of a backend server
    When 1000 calls a second arrive for 8 s while it sheds 100 percent of them
    Then <bound> calls were turned away by the backend server

    Examples:
      | breaker | bound         |
      | breaker | at most 50    |
      | closed  | at least 7900 |

  Scenario: All calls are sent again within a second after the cause has ended
    Given a "breaker" breaker in front of a backend server
    When 1000 calls a second arrive for 8 s while it sheds 100 percent of them
    And 1000 calls a second arrive for 1 s while it sheds 0 percent of them
    And 1000 calls a second arrive for 1 s while it sheds 0 percent of them
    Then all calls of the last step were sent

  Scenario: A backend server that sheds few requests goes on to get nearly all calls
    Given a "breaker" breaker in front of a backend server
    When 1000 calls a second arrive for 8 s while it sheds 10 percent of them
    Then 90 percent of the calls or more were sent

  Scenario: Another incarnation starts without the past of the last one
    Given a "breaker" breaker in front of a backend server
    When 1000 calls a second arrive for 8 s while it sheds 100 percent of them
    And the breaker is reset
    And 1000 calls a second arrive for 1 s while it sheds 0 percent of them
    Then all calls of the last step were sent
