Feature: Replaying a trace against processes on loopback
  Guards against a replay that passes although a request ran twice, that leaves
  processes behind, or that runs a trace which does not fit its deployment. A fake
  daemon stands in for nodes and replicas.

  Scenario: A trace whose outcomes are met passes with figures for both variants
    Given a replay of 40 requests with the baseline "admission"
    When the replay runs with a fake daemon
    Then the replay passed
    And the replay summary shows a goodput of 1 for the variants "on" and "off"
    And the replay wrote the histogram logs "on-1.hlog" and "off-1.hlog"
    And no process of the replay is left

  Scenario: A request that runs twice fails the verdict
    Given a replay of 40 requests without a baseline
    When the replay runs with a fake daemon that runs every request twice
    Then the replay failed with "at-most-one-run" not met

  Scenario: A crashed backend server shows up in the outcomes
    Given a replay of 40 requests without a baseline
    And the replay's trace crashes "books-1" at 100 ms
    When the replay runs with a fake daemon
    Then the replay failed with "goodput-share" not met

  Scenario Outline: A trace that does not fit is refused before anything starts
    Given a replay of 40 requests without a baseline
    And the replay's <part> is changed to <value>
    When the replay runs with a fake daemon
    Then the replay is refused with "<problem>"

    Examples:
      | part          | value  | problem                                         |
      | request limit | 39     | 40 requests exceed the limit of 39              |
      | service       | gone   | services of the trace that do not exist: gone   |
      | group         | absent | groups of the outcomes that do not exist: absent |

  Scenario: A daemon that cannot start is reported with its log
    Given a replay of 40 requests without a baseline
    When the replay runs with a daemon that ends at once
    Then the replay is refused with "ended with status 3"
