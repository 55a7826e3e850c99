Feature: Measuring the time added to a call
  Guards against a figure without its baseline, and against differences that are taken
  between runs instead of within one.

  Scenario: Each kind of call is measured in the same run
    When 400 calls in 2 latency runs are measured against a fake daemon
    Then the latency figures hold p50 and p99 of 2 runs for "direct" and "path"
    And the latency figures hold the time added by "path" against "direct"
    And the latency figures hold the processor time of both nodes of "path"

  Scenario: The added time is the difference within each run
    Given latency run 1 with direct calls of 1 ms and path calls of 2 ms
    And latency run 2 with direct calls of 10 ms and path calls of 14 ms
    Then the added p99 has the median 2.5 ms and lies between 1 ms and 4 ms
