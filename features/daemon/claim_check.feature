Feature: Refusals of rows that may not be repeated
  Guards against a caller that is told "not-run" about a settlement that another node
  ran under the same key, and that then sends it again under a new key.

  Scenario Outline: A refusal before the claim tells what is true of the key
    Given a refused settlement whose key is "<state>" at the replicas
    When the claim check confirms the refusal
    Then the caller of the settlement is told "<outcome>" with reason "<reason>"

    Examples:
      | state       | outcome | reason   |
      | none        | not-run | overload |
      | abandoned   | not-run | overload |
      | running     | unknown | running  |
      | done        | done    |          |
      | expired     | unknown | overload |
      | unavailable | unknown | overload |

  Scenario: Lookups are bounded, and beyond the bound the outcome is unknown
    Given a refused settlement whose key is "slow" at the replicas
    When the claim check confirms 300 refusals at the same time
    Then 256 lookups were made and 44 outcomes are unknown

  Scenario: The entry of a node checks a refusal of a settlement and not of a read
    When an entry refuses a settlement and a read that have keys
    Then the claim check was asked about the settlement only
