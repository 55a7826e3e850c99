Feature: Slow servers are detected by calls of similar duration only
  Guards against a server that is suspended because of a long call of normal duration.
  Its traffic then goes to other zones and slows down one server after another.

  Scenario Outline: A mix of lookups and reports suspends no healthy server
    Given a zone-first router over 4 healthy servers, used by a node that <rule> rows before it measures latency
    When for 20 s 60 lookups of 40 ms and 3 reports of 700 ms a second are called in 12 runs
    Then <bound> of the lookups left their zone in the worst run

    Examples:
      | rule     | bound          |
      | compares | at most 2%     |
      | mixes    | more than 10%  |

  Scenario: A slow server still loses its traffic
    Given a zone-first router over 4 healthy servers, used by a node that compares rows before it measures latency
    And the server of the local zone takes 8 times as long from second 10 on
    When for 20 s 60 lookups of 40 ms and 3 reports of 700 ms a second are called in 12 runs
    Then less than 20% of the lookups after second 12 stayed in their zone in the worst run

  Scenario: A rarely called row does not become the reference
    Given rows "lookup" with 100 answers of 40 ms and "probe" with 5 answers of 2 ms
    Then only "lookup" is comparable
