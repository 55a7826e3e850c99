Feature: Calls stay in their zone while it has capacity, and targets keep their shares
  Guards against needless traffic between zones, against calls that are queued in a full
  zone while another zone has free slots, and against a traffic split that deviates from
  the configured shares.

  Scenario: With free slots in the local zone no call leaves it
    Given a zone-first router with a server of 10 slots in each of the zones a, b and c
    When 100 calls of 50 ms arrive 20 ms apart
    Then all calls go to zone a

  Scenario: At most one call in two seconds samples the latency of other zones
    Given a zone-first router with a server of 10 slots in each of the zones a, b and c
    When 1000 calls of 50 ms arrive 20 ms apart
    Then between 5 and 10 calls go to the other zones

  Scenario: A call that may not be used as a latency sample stays in its zone
    Given a zone-first router with a server of 10 slots in each of the zones a, b and c
    When the calls may not be used as latency samples
    And 1000 calls of 50 ms arrive 20 ms apart
    Then all calls go to zone a

  Scenario: Calls beyond the slots of the local zone go to other zones
    Given a zone-first router with a server of 10 slots in each of the zones a, b and c
    When 20 calls arrive at once
    Then 10 calls go to zone a and 10 to the other zones

  Scenario: A full server in the local zone is skipped while its load report is recent
    Given a zone-first router with a server of 10 slots in each of the zones a, b and c
    And the server of zone a has just reported 10 running and 3 queued calls
    When 4 calls of 50 ms arrive 20 ms apart
    Then no call goes to zone a

  Scenario: After a refusal the next calls go to other zones
    Given a zone-first router with a server of 10 slots in each of the zones a, b and c
    And the server of zone a has just refused a call
    When 4 calls of 50 ms arrive 20 ms apart
    Then no call goes to zone a

  # Moving calls between full zones gains nothing and costs inter-zone traffic.
  Scenario: When all servers are equally full, a call stays in its zone
    Given a zone-first router with a server of 10 slots in each of the zones a, b and c
    And all servers have just reported 10 running and 0 queued calls after 40 to 60 ms
    When 1 calls of 50 ms arrive 20 ms apart
    Then all calls go to zone a

  Scenario Outline: A traffic split keeps its shares over any number of requests
    When <count> requests are distributed over the targets "archive:90,panels:10"
    Then between <low> and <high> of them go to "panels"

    Examples:
      | count | low | high |
      | 10    | 1   | 1    |
      | 95    | 9   | 10   |
      | 1000  | 100 | 100  |

  Scenario: A target with a share of 0 gets no request
    When 50 requests are distributed over the targets "archive:5,panels:0"
    Then between 0 and 0 of them go to "panels"

  # Each node samples on its own, so the traffic between zones would grow with the number
  # of nodes although the members of one zone can be compared with each other.
  Scenario: With three members in the local zone no call leaves it as a sample
    Given a zone-first router with 3 servers of 10 slots in each of the zones a, b and c
    When 1000 calls of 50 ms arrive 20 ms apart
    Then all calls go to zone a
