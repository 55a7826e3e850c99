Feature: Admission control at one backend server
  Guards against important work that is shed before unimportant work, a server that is
  kept overloaded or underused after a slowdown, and work started too late.

  Scenario Outline: Under mixed overload no lower weight runs before a refused higher one
    Given an admission server "adaptive" with 10 slots and seed <seed>
    When weights 10, 100 and 900 arrive for 3 s at 3 times the capacity
    Then no lower weight started while a higher weight waited or was refused
    And weight 900 completes at least 95 percent of its calls
    And the load reported an admitted weight above 10 during the overload
    And the load reports admitted weight 0 at 3 s after the overload

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: The fixed variant runs lower weights while higher ones wait
    Given an admission server "fixed" with 10 slots and seed 1
    When weights 10, 100 and 900 arrive for 3 s at 3 times the capacity
    Then some lower weight started while a higher weight waited

  Scenario: A sub-call keeps its root's weight and goes before a root of equal weight
    Given an admission server "adaptive" with 1 slots and seed 1
    And one running call that takes 50 ms
    When a root of weight 500 and then a sub-call at depth 5 of weight 500 wait
    And a root of weight 400 with an earlier deadline waits in admission
    Then the waiting calls start in the order sub-call, root, lighter root

  Scenario: An arrival evicts a waiting call of lower weight when its row is full
    Given an admission server "adaptive" with 1 slots and seed 1
    And one running call that takes 50 ms
    When two calls of weight 10 and one of weight 20 share a row with room for 2
    Then the older call of weight 10 is refused as "evicted"
    And a further call of weight 10 in that row is refused as "queue-full"

  Scenario Outline: A 5-fold slowdown by <kind> keeps throughput and ends quickly
    Given an admission server "adaptive" with 40 slots and seed 3
    When the saturated server runs 2 s, slows down 5-fold by <kind> for 4 s and recovers
    Then throughput while slowed is at least 85 percent of what is possible
    And full throughput is reached within 2000 ms after the slowdown

    Examples:
      | kind     |
      | latency  |
      | capacity |

  Scenario: Lost capacity lowers the limit to the point where throughput stops growing
    Given an admission server "adaptive" with 40 slots and seed 3
    When the saturated server runs 2 s, slows down 5-fold by capacity for 4 s and recovers
    Then the mean limit in the last second of the slowdown is between 5 and 14
    And the limit fell to at most 14 within 1000 ms of the slowdown

  Scenario: A limit held below the point of full throughput is tried higher
    Given an admission server "adaptive" with 40 slots and seed 3
    When calls of exactly 20 ms saturate it, capacity falls 5-fold for 4 s and returns
    Then the limit is at the slots again within 2000 ms

  Scenario: The fixed limit stays far above that point
    Given an admission server "fixed-limit" with 40 slots and seed 3
    When the saturated server runs 2 s, slows down 5-fold by capacity for 4 s and recovers
    Then the mean limit in the last second of the slowdown is between 40 and 40

  Scenario Outline: Short requests do not wait behind long uploads
    Given an admission server "<variant>" with <slots> slots and seed 1
    When more long uploads than slots arrive and then short requests for 1 s
    Then the longest wait of a short request is <comparison> 100 ms

    Examples:
      | variant        | slots | comparison |
      | adaptive       | 8     | below      |
      | adaptive       | 3     | below      |
      | unlimited-long | 8     | above      |
      | fixed          | 8     | above      |

  Scenario: With one slot a long upload runs when nothing else waits
    Given an admission server "adaptive" with 1 slots and seed 1
    When a long upload arrives at the idle admission server
    Then the long upload starts at once

  Scenario Outline: Nothing starts after its deadline
    Given an admission server "<variant>" with 2 slots and seed 5
    When 40 calls of 20 ms with a deadline of 100 ms arrive at once
    Then <number> calls start after their deadline

    Examples:
      | variant  | number |
      | adaptive | no     |
      | fixed    | some   |

  Scenario: Work that cannot meet its deadline is refused before it runs
    Given an admission server "adaptive" with 2 slots and seed 5
    When 40 calls of 20 ms with a deadline of 100 ms arrive at once
    Then at least 28 of them are refused as "deadline" on arrival
    And all admission calls that started finish within their deadline

  Scenario: A row with a deadline below its estimate is tried again
    Given an admission server "adaptive" with 2 slots and seed 5
    When a row's calls took 500 ms and a call with a deadline of 100 ms comes to it idle
    Then that call starts in admission

  Scenario: A row holds at most its share of the limit
    Given an admission server "adaptive" with 10 slots and seed 1
    When 10 calls of a row with a share of 30 percent arrive and one of another row
    Then 3 calls of the limited row run and the other row's call runs

  Scenario: A call waits at most as long as its row allows
    Given an admission server "adaptive" with 1 slots and seed 1
    And one running call that takes 500 ms
    When a call of a row with a queue wait of 70 ms waits
    Then it is refused as "overload" after 70 ms

  Scenario: A standing queue drops the oldest of the lowest weight and runs the newest
    Given an admission server "fixed-limit" with 1 slots and seed 1
    And one running call that takes 140 ms
    When 3 calls of weight 10 and 2 of weight 20 wait for 130 ms
    Then only the oldest call of weight 10 is dropped
    And the newest call of weight 20 starts first

  Scenario: A wait of less than one service time is no standing queue
    Given an admission server "fixed-limit" with 1 slots and seed 1
    And one running call that takes 600 ms
    When 3 calls that take 200 ms wait in admission
    Then none of them is dropped within 390 ms and one within 410 ms

  Scenario: A row that allows a long wait is not dropped for standing delay
    Given an admission server "fixed-limit" with 1 slots and seed 1
    And one running call that takes 600 ms
    When 5 calls of a row with a queue wait of 4000 ms wait among shorter waits
    Then only calls of the shorter wait are refused
    And the calls of the long wait start in the order of their arrival

  Scenario: A sub-call waits longer than its row allows a root to wait
    Given an admission server "fixed-limit" with 1 slots and seed 1
    And one running call that takes 600 ms
    When a sub-call and a root of a row with a queue wait of 70 ms wait
    Then the root is refused after 70 ms and the sub-call starts after 600 ms

  Scenario: A sub-call does not wait past its deadline
    Given an admission server "fixed-limit" with 1 slots and seed 1
    And one running call that takes 600 ms
    When a sub-call with a deadline in 300 ms waits in admission
    Then the sub-call is refused as "deadline" and never starts

  Scenario: A slowdown that ends within a window does not lower the limit
    Given an admission server "adaptive" with 7 slots and seed 1
    When 2 calls at a time run for 6 s, then 7 at a time with 250 ms of slowdown
    Then the limit stayed at 7 from the slowdown until 2 s after it

  Scenario Outline: Random sequences keep the invariants
    Given an admission server "adaptive" with <slots> slots and seed <seed>
    When 4000 random arrivals, ends, cancellations and changes of slots happen
    Then each call had exactly one decision and nothing started after its deadline
    And the calls in flight never exceeded the slots at the time of a start

    Examples:
      | slots | seed |
      | 1     | 11   |
      | 2     | 12   |
      | 7     | 13   |
      | 40    | 14   |

  Scenario: Wrong use of admission is a clear error
    Given an admission server "adaptive" with 1 slots and seed 1
    And one running call that takes 50 ms
    Then a repeated call id, an unknown end and 0 slots each raise an admission error

  Scenario: A row's duration class is learned with hysteresis
    Given a size classifier "learned" that saw 300 calls of 20 ms
    When a row to be learned runs 60 calls of 3000 ms
    Then the learned row is "long"
    When a row to be learned runs 200 calls of 180 ms
    Then the learned row is "long"
    When a row to be learned runs 200 calls of 30 ms
    Then the learned row is "short"

  Scenario: Without learning the row counts as short
    Given a size classifier "stated" that saw 300 calls of 20 ms
    When a row to be learned runs 60 calls of 3000 ms
    Then the learned row is "short"
