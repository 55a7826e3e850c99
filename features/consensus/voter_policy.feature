Feature: Which replicas vote
  Guards against a lost replica that is never replaced, and against a change that leaves
  fewer voters than the next loss needs.

  Scenario: A new replica is admitted
    Given voters a, b and c
    When replica "d" at "10.0.0.4:1" asks to join
    Then the next change admits "d"

  Scenario: Only one replica catches up at a time
    Given voters a, b and c
    And learner "d" silent for 1000 ms
    When replica "e" at "10.0.0.5:1" asks to join
    Then no change is made

  Scenario: A learner that went away is removed
    Given voters a, b and c
    And learner "d" silent for 5000 ms
    Then the next change removes "d"

  Scenario: A replica with a wiped disk is admitted before its old identity is removed
    Given voters a, b and c
    And voter "b" silent for 3000 ms
    When replica "b2" at "b:1" asks to join
    Then the next change admits "b2"

  Scenario: The old identity at the address of another voter is removed
    Given voters a, b and c
    And voter "b" silent for 3000 ms
    And another voter "b2" at "b:1"
    Then the next change removes "b"

  Scenario: A silent voter stays while its removal would leave too few
    Given voters a, b, c, d and e
    And voter "b" silent for 60000 ms
    Then no change is made

  Scenario: A silent voter is removed once a replacement votes
    Given voters a, b, c, d, e and f
    And voter "b" silent for 60000 ms
    Then the next change removes "b"

  Scenario: A voter that is cut off for some seconds stays
    Given voters a, b, c, d, e and f
    And voter "b" silent for 6000 ms
    Then no change is made
