Feature: Requests between processes
  Guards against answers of other requests, second runs of a settlement (a request that
  is not repeatable), "not run" for a request that ran, retries that multiply along a call
  chain, and malformed input that affects other callers.

  Background:
    Given a deployment with a call chain and a store

  Scenario: Hundreds of calls with random delays and deadlines
    When 400 calls with random delays and deadlines go through all nodes
    Then each call has exactly one outcome and no answer of another call
    And no call that is reported as not-run is in a run log
    And at least one call exceeded its deadline and at least one was answered

  Scenario: Long uploads and downloads concurrent with short calls
    When 20 MB are uploaded and 20 MB are downloaded twice while short calls continue
    Then each upload and download is complete and has its own content
    And the short calls were answered in the meantime

  Scenario: A caller that disconnects cancels a call chain
    When the caller of a slow call over three services disconnects
    Then the runs at all three services are recorded as cancelled

  Scenario: Retries along a call chain are bounded by the row of the root request
    When a call over three services fails at the last one and each server resends
    Then the runs of the chain hold at most 2 retries and at least 1

  Scenario: A resend through another node gets the stored answer
    When a settlement is sent and sent again through all other nodes
    Then all of them got the same answer with outcome done
    And the settlement ran once

  Scenario: A resend while the settlement is running
    When a slow settlement is sent again through another node while it runs
    Then the resend is told that the outcome is unknown, with a time to retry
    And the first sender is told that the outcome is done
    And the settlement ran once

  Scenario: A request key reused for other content
    When the key of a settlement is reused for other content
    Then the reuse is refused with status 422 as not-run
    And the settlement ran once

  Scenario Outline: Invalid request keys
    When a settlement is sent with <key>
    Then it is refused with status <status> as <outcome>
    And the settlement did not run

    # The record of an expired key may have been deleted, so that it is unknown whether
    # the request has run before.
    Examples:
      | key                        | status | outcome |
      | no key                     | 400    | not-run |
      | a malformed key            | 400    | not-run |
      | a key with bad characters  | 400    | not-run |
      | an expired key             | 410    | unknown |
      | a key of the future        | 400    | not-run |

  Scenario Outline: Malformed input of callers
    When a raw caller sends <input>
    Then that caller gets status <status> or its connection ends, and the refusal is logged or counted
    And other callers are served

    # Chunks are counted as they arrive: the call has started when they exceed the
    # limit, so its outcome is unknown.
    Examples:
      | input                     | status |
      | an oversized head         | 400    |
      | a body over the limit     | 413    |
      | chunks over the limit     | 502    |
      | a negative length         | 400    |
      | a malformed chunk         | 400    |
      | a target with a host      | 400    |
      | garbage                   | 400    |

  Scenario: A caller that stops in the middle of its body
    When a raw caller stops in the middle of its body and leaves
    Then other callers are served
    And its request has not run

  Scenario Outline: Malformed announcements
    When an announcement is sent with <fault>
    Then the announcement is refused with a client error
    And the announced backend server still serves

    Examples:
      | fault                     |
      | no JSON                   |
      | a body over its limit     |
      | deeply nested JSON        |
      | a service of bad text     |
      | a port out of range       |
      | an older incarnation      |

  Scenario Outline: Malformed frames at the peer listener
    When a raw peer sends <frames> to a node's peer address
    Then the node closes that connection and logs it
    And other callers are served

    Examples:
      | frames                    |
      | garbage                   |
      | an oversized frame        |
      | an unknown message type   |
      | a wrong proof             |

  Scenario: A node names what it runs at its start
    Then the log of the node names its build, event loop and parser once
