Feature: Limits on retries
  Guards against retries that multiply along a call chain, against a retry storm to one
  service, and against resends by a client that bypass the row's limit.

  Scenario Outline: Seven hops with fan-out never exceed the row's retries
    Given <requests> requests over 7 hops with fan-out <fan_out> and <retries> retries under a "tokens" allowance
    And <lost>% of answers lost, <refused>% of calls refused, answers reordered, seed <seed>
    When each client resends its request up to 4 times until it succeeds
    Then losses, refusals, retries and resends took place
    And the requests never pass a limit of <retries> retries and 1 + <retries> runs of each call

    Examples:
      | requests | fan_out | retries | lost | refused | seed |
      | 300      | 1       | 1       | 10   | 10      | 1    |
      | 200      | 1       | 4       | 20   | 10      | 2    |
      | 60       | 2       | 3       | 0.5  | 0.5     | 3    |
      | 60       | 2       | 10      | 1    | 1       | 5    |
      | 40       | 3       | 5       | 0.1  | 0.1     | 6    |

  Scenario: Retries counted per hop exceed the row's retries
    Given 20 requests over 7 hops with fan-out 2 and 3 retries under a "per-hop" allowance
    And 10% of answers lost, 10% of calls refused, answers reordered, seed 3
    When each client resends its request up to 4 times until it succeeds
    Then the requests pass a limit of 3 retries and 1 + 3 runs of each call

  Scenario: Returned tokens never exceed those that were sent
    Given a retry allowance of 5 tokens
    When it delegates twice and each answer claims to return 100 tokens
    Then the retry allowance holds 5 tokens
    And returning -1 tokens is rejected as invalid

  Scenario Outline: Retries to a service stay within their share in every window of 10 s
    Given a "<budget>" service retry budget
    When calls of which 60% need a retry arrive for 60 s, with alternating busy and idle phases, seed <seed>
    Then retries <verdict> a limit of 10% of first attempts, or 3, within a window of 10 s

    Examples:
      | budget    | seed | verdict  |
      | share     | 1    | never pass     |
      | share     | 2    | never pass     |
      | unlimited | 1    | sometimes pass |

  Scenario: A service with little traffic gets retries, and the number of services is bounded
    Given a "share" service retry budget
    Then a service without traffic gets exactly 3 retries, and 3 more 11 s later
    And after calls to 3000 services at most 1024 are tracked
    And a further service gets a retry once the others have been idle for 11 s

  Scenario Outline: Resends under one key use up the row's retries
    Given a "<ledger>" resend tracker for 100 keys
    When a key with 2 retries arrives 6 times, once every second
    Then <runs> of its arrivals may run

    Examples:
      | ledger    | runs |
      | counted   | 3    |
      | uncounted | 6    |

  Scenario: Eviction and expiry grant at most one new allowance
    Given a "counted" resend tracker for 100 keys
    When a key with 2 retries arrives, then 5000 other keys
    Then the resend tracker holds 100 keys
    And the evicted key's first attempt holds no tokens and gets none back
    And the evicted key runs 3 more times under one new allowance
    And after its lifetime it runs 3 more times under one new allowance
