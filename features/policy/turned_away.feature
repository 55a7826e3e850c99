Feature: Calls that backend servers turn away are sent again where it matters most
  Guards against a budget of second sends that light work uses up while heavy work fails,
  when every server of a deep service turns away a part of its calls. The pattern is a
  retry budget with priorities.

  # A third of the credit is the users' floor for each kind of request on such a day.
  Scenario Outline: Half of the calls are turned away for 8 s
    Given a "<budget>" retry budget and roots with 4 calls in a row to one service
    When for 8 s 175 heavy and 450 light roots a second find half of their calls turned away
    Then <bound> 33 percent of the heavy roots complete
    And the service gets <resends> than 20 percent of its calls, and 50, again

    Examples:
      | budget    | bound     | resends |
      | share     | more than | no more |
      | unlimited | more than | more    |

  Scenario: Without weights the same budget leaves the heavy roots below that
    Given a "share" retry budget and roots with 4 calls in a row to one service
    And the budget is not told what speaks for a resend
    When for 8 s 175 heavy and 450 light roots a second find half of their calls turned away
    Then less than 33 percent of the heavy roots complete
