Feature: Time limits and delays of the event loop
  Guards against code that runs past its deadline, a cancellation reported as a timeout,
  and a blocked or suspended process that logs nothing.

  Scenario Outline: A block ends on its deadline, on a cancellation or by itself
    When a block of <block> ms under a deadline of <limit> ms is <cancelled>
    Then the block ends <how>

    Examples:
      | block | limit | cancelled          | how              |
      | 5000  | 20    | left alone         | with a timeout   |
      | 1     | 5000  | left alone         | by itself        |
      | 5000  | 5000  | cancelled at 20 ms | with a cancel    |

  Scenario: A blocked event loop is measured and logged
    When the event loop is blocked for 400 ms
    Then its longest delay is at least 100 ms and the delay is logged
