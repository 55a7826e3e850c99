Feature: Admission control at one backend server
  Guards against shedding calls of high weight before calls of low weight, against a
  backend server that stays overloaded or underused after a slowdown, and against calls
  that start after their deadline.

  Scenario Outline: Under overload no lower weight starts before a queued or refused higher one
    Given admission control "adaptive" with 10 slots and seed <seed>
    When weights 10, 100 and 900 arrive for 3 s at 3 times the capacity
    Then no lower weight started while a higher weight was queued or refused
    And weight 900 completes at least 95 percent of its calls
    And the load reported an admitted weight above 10 during the overload
    And the load reports admitted weight 0 3 s after the overload

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: The fixed variant starts lower weights while higher ones are queued
    Given admission control "fixed" with 10 slots and seed 1
    When weights 10, 100 and 900 arrive for 3 s at 3 times the capacity
    Then some lower weight started while a higher weight was queued

  Scenario: A sub-call has the weight of its root and starts before a root of equal weight
    Given admission control "adaptive" with 1 slots and seed 1
    And one running call that takes 50 ms
    When a root of weight 500 and then a sub-call at depth 5 of weight 500 are queued
    And a root of weight 400 with an earlier deadline is queued
    Then the queued calls start in the order sub-call, root, root of lower weight

  Scenario: A new call evicts a call of lower weight when its row's queue is full
    Given admission control "adaptive" with 1 slots and seed 1
    And one running call that takes 50 ms
    When two calls of weight 10 and one of weight 20 come to a row with queue length 2
    Then the older call of weight 10 is refused as "evicted"
    And a further call of weight 10 in that row is refused as "queue-full"

  # By latency, each call takes 5 times as long; by capacity, the number of calls that run
  # at full speed falls to a fifth.
  Scenario Outline: Throughput holds in a 5-fold slowdown by <kind> and recovers quickly
    Given admission control "adaptive" with 40 slots and seed 3
    When the saturated server runs 2 s, slows down 5-fold by <kind> for 4 s and recovers
    Then throughput while slowed is at least 85 percent of what is possible
    And full throughput is reached within 2000 ms after the slowdown

    Examples:
      | kind     |
      | latency  |
      | capacity |

  Scenario: A loss of capacity lowers the limit to the knee of the throughput curve
    Given admission control "adaptive" with 40 slots and seed 3
    When the saturated server runs 2 s, slows down 5-fold by capacity for 4 s and recovers
    Then the mean limit in the last second of the slowdown is between 5 and 14
    And the limit fell to at most 14 within 1000 ms of the slowdown

  Scenario: The limit rises again when the lost capacity returns
    Given admission control "adaptive" with 40 slots and seed 3
    When calls of exactly 20 ms saturate the server, capacity falls 5-fold for 4 s and returns
    Then the limit equals the slots again within 2000 ms

  Scenario: A fixed limit stays above the knee when capacity is lost
    Given admission control "fixed-limit" with 40 slots and seed 3
    When the saturated server runs 2 s, slows down 5-fold by capacity for 4 s and recovers
    Then the mean limit in the last second of the slowdown is between 40 and 40

  Scenario Outline: Short requests do not wait behind long uploads
    Given admission control "<variant>" with <slots> slots and seed 1
    When more long uploads than slots arrive and then short requests for 1 s
    Then the longest wait of a short request is <comparison> 100 ms

    Examples:
      | variant        | slots | comparison |
      | adaptive       | 8     | below      |
      | adaptive       | 3     | below      |
      | unlimited-long | 8     | above      |
      | fixed          | 8     | above      |

  Scenario: With one slot a long upload starts when nothing else is queued
    Given admission control "adaptive" with 1 slots and seed 1
    When a long upload arrives at the idle server
    Then the long upload starts at once

  Scenario Outline: Nothing starts after its deadline
    Given admission control "<variant>" with 2 slots and seed 5
    When 40 calls of 20 ms with a deadline of 100 ms arrive at once
    Then <number> calls start after their deadline

    Examples:
      | variant  | number |
      | adaptive | no     |
      | fixed    | some   |

  Scenario: A call that cannot meet its deadline is refused on arrival
    Given admission control "adaptive" with 2 slots and seed 5
    When 40 calls of 20 ms with a deadline of 100 ms arrive at once
    Then at least 28 of them are refused as "deadline" on arrival
    And all calls that started finish within their deadline

  Scenario: An idle row starts a call whose deadline is below the estimated service time
    Given admission control "adaptive" with 2 slots and seed 5
    When calls of a row took 500 ms and one with a deadline of 100 ms comes when it is idle
    Then that call starts at once

  Scenario: A row uses at most its share of the concurrency limit
    Given admission control "adaptive" with 10 slots and seed 1
    When 10 calls of a row with a share of 30 percent arrive and one of another row
    Then 3 calls of the limited row run and the other row's call runs

  Scenario: A call is refused at the end of the queue wait of its row
    Given admission control "adaptive" with 1 slots and seed 1
    And one running call that takes 500 ms
    When a call of a row with a queue wait of 70 ms is queued
    Then it is refused as "overload" after 70 ms

  Scenario: A standing queue drops the oldest of the lowest weight and starts the newest
    Given admission control "fixed-limit" with 1 slots and seed 1
    And one running call that takes 140 ms
    When 3 calls of weight 10 and 2 of weight 20 are queued for 130 ms
    Then only the oldest call of weight 10 is dropped
    And the newest call of weight 20 starts first

  Scenario: A queue delay below one service time is not a standing queue
    Given admission control "fixed-limit" with 1 slots and seed 1
    And one running call that takes 600 ms
    When 3 calls that take 200 ms are queued
    Then none of them is dropped within 390 ms and one within 410 ms

  Scenario: Calls of a row with a long queue wait are not dropped because of a standing queue
    Given admission control "fixed-limit" with 1 slots and seed 1
    And one running call that takes 600 ms
    When 5 calls of a row with a queue wait of 4000 ms are queued among calls with a shorter one
    Then only calls with the shorter queue wait are refused
    And the calls with the long queue wait start in the order of their arrival

  # Refusing a sub-call would waste the work already done for its root.
  Scenario: At the end of its row's queue wait a root is refused but not a sub-call
    Given admission control "fixed-limit" with 1 slots and seed 1
    And one running call that takes 600 ms
    When a sub-call and a root of a row with a queue wait of 70 ms are queued
    Then the root is refused after 70 ms and the sub-call starts after 600 ms

  Scenario: A queued sub-call is refused at its deadline
    Given admission control "fixed-limit" with 1 slots and seed 1
    And one running call that takes 600 ms
    When a sub-call with a deadline in 300 ms is queued
    Then the sub-call is refused as "deadline" and never starts

  Scenario: A slowdown that ends within a measurement window does not lower the limit
    Given admission control "adaptive" with 7 slots and seed 1
    When 2 calls at a time run for 6 s, then 7 at a time with 250 ms of slowdown
    Then the limit stayed at 7 from the slowdown until 2 s after it

  Scenario Outline: Random sequences keep the invariants
    Given admission control "adaptive" with <slots> slots and seed <seed>
    When 4000 random arrivals, ends, cancellations and changes of slots happen
    Then each call had exactly one decision and nothing started after its deadline
    And the calls in flight never exceeded the slots at the time of a start

    Examples:
      | slots | seed |
      | 1     | 11   |
      | 2     | 12   |
      | 7     | 13   |
      | 40    | 14   |

  Scenario: Invalid use of admission control raises an error
    Given admission control "adaptive" with 1 slots and seed 1
    And one running call that takes 50 ms
    Then a repeated call id, the end of an unknown call and 0 slots each raise an error

  Scenario: The size class of a row is learned with hysteresis
    Given a size classifier "learned" that observed 300 calls of 20 ms
    When a row without a size class runs 60 calls of 3000 ms
    Then the row is classified as "long"
    When a row without a size class runs 200 calls of 180 ms
    Then the row is classified as "long"
    When a row without a size class runs 200 calls of 30 ms
    Then the row is classified as "short"

  Scenario: Without learning, a row without a size class counts as short
    Given a size classifier "stated" that observed 300 calls of 20 ms
    When a row without a size class runs 60 calls of 3000 ms
    Then the row is classified as "short"
