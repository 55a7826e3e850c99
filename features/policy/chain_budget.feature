Feature: Retries along a chain of services
  Guards against retries that multiply along a chain: a retried run makes its calls again,
  and each service of the chain also retries on its own.

  Scenario Outline: Repeated arrivals at each service of a chain stay within one share
    Given a chain of 4 services that each refuse 30% of what arrives, seed <seed>
    When calls pass through it for 40 s and calls of retried runs are counted as <kind>
    Then repeated arrivals <verdict> 20% of the calls to a service, or 50, within 10 s

    Examples:
      | kind           | seed | verdict     |
      | retries        | 1    | never pass  |
      | retries        | 2    | never pass  |
      | first attempts | 1    | pass        |
