Feature: Time limits and delays of the event loop
  Guards against a run that outlasts its deadline, a cancellation that is taken for a
  timeout, and a process that was busy or stood still without a line in its log.

  Scenario Outline: A block ends by its deadline, by a cancellation or by itself
    When a block of <block> ms under a deadline of <limit> ms is <cancelled>
    Then the block ends <how>

    Examples:
      | block | limit | cancelled          | how              |
      | 5000  | 20    | left alone         | with a timeout   |
      | 1     | 5000  | left alone         | by itself        |
      | 5000  | 5000  | cancelled at 20 ms | with a cancel    |

  Scenario: A blocked event loop is measured and logged
    When the event loop is blocked for 400 ms
    Then its longest delay is at least 100 ms and the log tells of it
