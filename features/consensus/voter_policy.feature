Feature: Automatic membership changes
  Guards against a failed replica that is never replaced, and against a change that
  leaves too few voters to tolerate the next failure.

  Scenario: A new replica is admitted
    Given voters a, b and c
    When replica "d" at "10.0.0.4:1" asks to join
    Then the next change admits "d"

  Scenario: Only one replica catches up at a time
    Given voters a, b and c
    And learner "d" has been unreachable for 1000 ms
    When replica "e" at "10.0.0.5:1" asks to join
    Then no change is made

  Scenario: An unreachable learner is removed
    Given voters a, b and c
    And learner "d" has been unreachable for 5000 ms
    Then the next change removes "d"

  Scenario: A replica with a wiped disk is admitted before its old identity is removed
    Given voters a, b and c
    And voter "b" has been unreachable for 3000 ms
    When replica "b2" at "b:1" asks to join
    Then the next change admits "b2"

  Scenario: The old identity at the address of another voter is removed
    Given voters a, b and c
    And voter "b" has been unreachable for 3000 ms
    And another voter "b2" at "b:1"
    Then the next change removes "b"

  Scenario: An unreachable voter stays while its removal would leave too few voters
    Given voters a, b, c, d and e
    And voter "b" has been unreachable for 60000 ms
    Then no change is made

  Scenario: An unreachable voter is removed once its replacement is a voter
    Given voters a, b, c, d, e and f
    And voter "b" has been unreachable for 60000 ms
    Then the next change removes "b"

  Scenario: A voter that is unreachable for a few seconds stays
    Given voters a, b, c, d, e and f
    And voter "b" has been unreachable for 4000 ms
    Then no change is made

  Scenario: An unreachable voter is removed before the next loss once five others answer
    Given voters a, b, c, d, e, f and g
    And voter "b" has been unreachable for 5000 ms
    And voter "c" has been unreachable for 5000 ms
    Then the next change removes "b"

  Scenario: An unreachable voter stays while only four others answer
    Given voters a, b, c, d, e and f
    And voter "b" has been unreachable for 60000 ms
    And voter "c" has been unreachable for 60000 ms
    Then no change is made

  Scenario: A further replica is admitted while a learner holds the log
    Given voters a, b, c, d and e
    And learner "f" holds the log
    When replica "g" at "10.0.0.7:1" asks to join
    Then the next change admits "g"

  Scenario: A learner that holds the log stays while it restarts
    Given voters a, b, c, d and e
    And learner "f" holds the log
    And member "f" has been unreachable for 6000 ms
    Then no change is made

  Scenario: The old identity of a learner with a wiped disk is removed
    Given voters a, b, c, d and e
    And learner "f" holds the log
    And member "f" has been unreachable for 2000 ms
    And another learner "g" at "f:1" holds the log
    Then the next change removes "f"

  Scenario: A voter with a wiped disk stays until its new identity votes
    Given voters a, b, c, d and e
    And member "b" has been unreachable for 3000 ms
    And another learner "g" at "b:1" holds the log
    Then no change is made
