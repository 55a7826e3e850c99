Feature: What a reply says about a backend server
  Guards against healthy backend servers that get no calls, because the resends of a
  request that still runs elsewhere counted as their failures.

  Scenario Outline: Replies to calls
    When a call ends with <reply>
    Then the router counts it as <result>

    Examples:
      | reply                           | result           |
      | a failure connection-lost       | failed           |
      | a failure deadline              | failed           |
      | a failure server-crashed        | failed           |
      | a failure running               | cancelled        |
      | a refusal overload              | refused-overload |
      | a refusal evicted               | refused-overload |
      | a refusal draining              | refused-draining |
      | a refusal no-claim-quorum       | cancelled        |
      | a refusal key-closed            | cancelled        |
