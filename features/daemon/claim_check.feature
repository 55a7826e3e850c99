Feature: Refusals of requests that are not repeatable
  Guards against reporting "not-run" for a settlement (a request that is not repeatable)
  that another node has run with the same key, so that the caller sends it again with a
  new key and it runs twice.

  Scenario Outline: The outcome of a refusal before the claim depends on the claim
    Given a refused settlement whose claim is "<state>" at the replicas
    When the refusal is verified with the claim
    Then the caller of the settlement is told "<outcome>" with reason "<reason>"

    Examples:
      | state       | outcome | reason   |
      | none        | not-run | overload |
      | abandoned   | not-run | overload |
      | running     | unknown | running  |
      | done        | done    |          |
      | expired     | unknown | overload |
      | unavailable | unknown | overload |

  Scenario: Lookups are limited, and above the limit the outcome is unknown
    Given a refused settlement whose claim is "slow" at the replicas
    When 300 refusals are verified with the claim concurrently
    Then 256 lookups were made and 44 outcomes are unknown

  Scenario: A refused settlement is verified and a refused read is not
    When an entry service refuses a settlement and a read with keys
    Then only the claim of the settlement was verified
