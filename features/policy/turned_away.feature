Feature: The retry budget gives priority to calls of high weight
  Guards against a retry budget that calls of low weight use up while calls of high weight
  fail, when every backend server of a downstream service sheds a part of its calls.

  # The bound is the required goodput: a third of the roots of each kind.
  Scenario Outline: Heavy roots complete while half of the calls are shed for 8 s
    Given a "<budget>" retry budget and roots with 4 calls in a row to one service
    When for 8 s 175 heavy and 450 light roots a second have half of their calls shed
    Then <bound> 33 percent of the heavy roots complete
    And the retries are <resends> than 20 percent of the calls plus 50

    Examples:
      | budget    | bound     | resends |
      | share     | more than | no more |
      | unlimited | more than | more    |

  Scenario: Without weights, the same budget completes fewer of the heavy roots
    Given a "share" retry budget and roots with 4 calls in a row to one service
    And the budget does not know the weights and progress of roots
    When for 8 s 175 heavy and 450 light roots a second have half of their calls shed
    Then less than 33 percent of the heavy roots complete
