Feature: Claims of non-idempotent requests
  Guards against a booking or settlement that runs twice, an answer of "not run" for a
  request that may have run, claims or answers that grow without limit, pruning that
  stalls the log, and one partition that fills up before the others.

  Background:
    Given a fresh replicated state machine

  Scenario: A claim is granted to one attempt, and again to a resend of that attempt
    Then claiming key "k1" for attempt "a" gives "granted"
    And claiming key "k1" for attempt "b" gives "running"
    And claiming key "k1" for attempt "a" gives "granted"

  Scenario: After the end the stored answer is returned and no attempt is granted
    Then claiming key "k1" for attempt "a" gives "granted"
    And ending key "k1" as done by attempt "a" with body "paid" gives "recorded"
    And ending key "k1" as done by attempt "a" with body "other" gives "recorded"
    And claiming key "k1" for attempt "a" gives "done"
    And claiming key "k1" for attempt "b" gives "done"
    And the stored answer of key "k1" has body "paid"

  Scenario: An end by an attempt that holds no claim changes nothing
    Then claiming key "k1" for attempt "a" gives "granted"
    And ending key "k1" as done by attempt "b" with body "paid" gives "not-holder"
    And ending key "k2" as done by attempt "b" with body "paid" gives "not-holder"
    And looking up key "k1" gives "running"
    And looking up key "k2" gives "none"

  Scenario: An abandoned attempt is never granted again, a new one is
    Then claiming key "k1" for attempt "a" gives "granted"
    And ending key "k1" as abandoned by attempt "a" gives "recorded"
    And claiming key "k1" for attempt "a" gives "abandoned"
    And ending key "k1" as done by attempt "a" with body "paid" gives "not-holder"
    And claiming key "k1" for attempt "b" gives "granted"
    And claiming key "k1" for attempt "a" gives "abandoned"
    And ending key "k1" as abandoned by attempt "a" gives "recorded"
    And looking up key "k1" gives "running"

  Scenario: An abandonment that arrives before its claim blocks the claim
    Then ending key "k1" as abandoned by attempt "a" gives "recorded"
    And claiming key "k1" for attempt "a" gives "abandoned"
    And claiming key "k1" for attempt "b" gives "granted"

  Scenario: A finished attempt cannot be abandoned
    Then claiming key "k1" for attempt "a" gives "granted"
    And ending key "k1" as done by attempt "a" with body "paid" gives "recorded"
    And ending key "k1" as abandoned by attempt "a" gives "not-holder"
    And looking up key "k1" gives "done"

  Scenario: A key with too many abandoned attempts is closed
    When 65 attempts of key "k1" are abandoned
    Then claiming key "k1" for attempt "new" gives "closed"

  Scenario: A closed key refuses any later claim
    Then closing key "k1" gives "closed"
    And claiming key "k1" for attempt "a" gives "closed"
    And ending key "k1" as abandoned by attempt "a" gives "recorded"
    And claiming key "k1" for attempt "b" gives "closed"

  Scenario: Closing a key that is claimed without an end changes nothing
    Then claiming key "k1" for attempt "a" gives "granted"
    And closing key "k1" gives "running"
    And ending key "k1" as done by attempt "a" with body "paid" gives "recorded"
    And closing key "k1" gives "done"

  Scenario: A key used for other content is refused
    Then claiming key "k1" for attempt "a" gives "granted"
    And claiming key "k1" for attempt "b" with other content gives "key-reused"

  Scenario Outline: A key that is malformed or too far in the future is refused
    Then claiming the literal key "<key>" gives "bad-key"

    Examples:
      | key                                 |
      | 1700000000000                       |
      | 1700000000000-short                 |
      | 1700000000000-0123456789abcde!      |
      | -0123456789abcdef                   |
      | 1700000300001-0123456789abcdef      |
      | 9999999999999999-0123456789abcdef   |

  Scenario: A key at the limit of the allowed clock skew is granted
    Then claiming the literal key "1700000300000-0123456789abcdef" gives "granted"

  Scenario: A key expires against the watermark and is never granted after pruning
    Then claiming key "k1" for attempt "a" gives "granted"
    When 86400000 ms of log time pass
    Then looking up key "k1" gives "running"
    When 1 ms of log time pass
    Then looking up key "k1" gives "expired"
    And claiming key "k1" for attempt "b" gives "expired"
    And closing key "k1" gives "expired"
    When 256 commands are applied at the same log time
    Then the replica holds 0 claims
    And claiming key "k1" for attempt "b" gives "expired"

  Scenario: Each command prunes a limited number of expired records
    When 200 claims of one partition are granted
    And 86400001 ms of log time pass
    Then each further command removes at most 64 claims until none is left

  Scenario: Stored answers have a limited size and the oldest lose their bodies first
    When 5 claims of one partition end with answers of 600000 bytes each
    Then the stored answers take at most 2097152 bytes
    And the oldest answer of the partition has lost its body and kept its length
    And the newest answer of the partition has its body

  Scenario: A full partition refuses further keys as unavailable
    When a partition for 3 claims is full
    Then a further key of the partition is unavailable and its holder can still end

  Scenario: The hash spreads keys over all 256 partitions
    Then 20000 keys spread over 256 partitions with at most 140 in one

  Scenario Outline: Claims match a reference model under reordering, duplication and delay
    When 4000 claim messages are reordered, duplicated and delayed with seed <seed>
    Then every claim verdict agreed with the reference model
    And no key was granted to an attempt while another could have run
    And every claim verdict occurred in the run

    Examples:
      | seed |
      | 101  |
      | 102  |
      | 103  |
      | 104  |
