Feature: Choice of the backend server
  Guards against traffic to slow, overloaded, draining and cold backend servers, and
  against a thundering herd on a recovered one.

  A fair share is measured over the requests of the last step that routes requests.

  Scenario Outline: A slow backend server loses its traffic within 20 requests
    Given 1 "<router>" router with 6 warm backend servers and seed <seed>
    When backend server "s0" takes <slowdown> times as long as usual
    And 20 requests are routed
    And 300 requests are routed
    Then backend server "s0" got <verdict> of its fair share

    Examples:
      | router      | seed | slowdown | verdict   |
      | two-choices | 1    | 10       | under 10% |
      | two-choices | 2    | 20       | under 10% |
      | two-choices | 3    | 100000   | under 10% |
      | uniform     | 1    | 10       | over 60%  |
      | uniform     | 3    | 100000   | over 60%  |

  Scenario Outline: One overdue call diverts the next ones to another zone
    Given a "<router>" router with a backend server in each of 3 zones, all answering in 5 ms
    When one call to the local zone has been in flight for <age> ms
    Then <share> of the next calls go to the local zone

    Examples:
      | router      | age | share |
      | two-choices | 2   | all   |
      | two-choices | 12  | none  |
      | uniform     | 12  | some  |

  Scenario: A backend server that fails fast attracts no traffic
    Given 1 "two-choices" router with 6 warm backend servers and seed 17
    When backend server "s0" fails each call immediately
    And 20 requests are routed
    And 300 requests are routed
    Then backend server "s0" got under 10% of its fair share

  Scenario: The last healthy backend server gets the traffic
    Given 1 "two-choices" router with 6 warm backend servers and seed 20
    When backend server "s0 s1 s2 s3 s4" fails each call immediately
    And 100 requests are routed
    And 300 requests are routed
    Then backend server "s5" got over 550% of its fair share

  Scenario: Overdue calls keep traffic away when the load rises
    Given 1 "two-choices" router with 6 warm backend servers and seed 18
    When backend server "s0" takes 100000 times as long as usual
    And 200 requests are routed
    And the load rises 20-fold
    And 1000 requests are routed
    Then backend server "s0" got under 0% of its fair share

  Scenario Outline: A slow backend server gets one probe at a time, at growing intervals
    Given 1 "two-choices" router with 6 warm backend servers and seed <seed>
    When backend server "s0" takes 60 times as long as usual
    And 40 requests are routed
    And requests are routed for 20 seconds
    Then backend server "s0" never had two requests at once
    And the intervals between its requests grow to over 5 seconds

    Examples:
      | seed |
      | 4    |
      | 5    |

  Scenario Outline: A recovered backend server causes no thundering herd
    Given 20 "two-choices" routers with 6 warm backend servers and seed <seed>
    When backend server "s0" takes 20 times as long as usual
    And requests are routed for 5 seconds
    And backend server "s0" takes 1 times as long as usual
    And requests are routed for 30 seconds
    Then backend server "s0" never got over 150% of its fair share in 1000 ms
    When requests are routed for 3 seconds
    Then backend server "s0" got over 70% of its fair share

    Examples:
      | seed |
      | 6    |
      | 7    |

  Scenario Outline: The traffic share of a recovered backend server rises gradually
    Given 1 "two-choices" router with 6 warm backend servers and seed <seed>
    When backend server "s0" takes 20 times as long as usual
    And 500 requests are routed
    And backend server "s0" takes 1 times as long as usual
    And requests are routed for 10 seconds
    Then backend server "s0" got under 50% of its fair share in the second after probe 3
    When requests are routed for 3 seconds
    Then backend server "s0" got over 70% of its fair share

    Examples:
      | seed |
      | 15   |
      | 16   |

  Scenario Outline: A slowdown of all backend servers leaves most of them in use
    Given 1 "two-choices" router with 6 warm backend servers and seed <seed>
    When backend server "any" takes 20 times as long as usual
    And the load rises <factor>-fold
    And 300 requests are routed
    Then backend server "any" got over 35% of its fair share

    Examples:
      | seed | factor |
      | 8    | 1      |
      | 19   | 10     |

  Scenario Outline: Calls leave an overloaded zone and do not enter one
    Given a router in zone a, answers in <a_ms>, <b_ms> and 20 ms from zones a, b and c, overload in zone "<full>"
    When 200 requests are routed among the zones with seed 9
    Then zone "<most>" gets over <percent>% and zone "<unused>" gets none

    Examples:
      | a_ms | b_ms | full | most | percent | unused |
      | 5    | 6    | none | a    | 85      | c      |
      | 5    | 6    | a    | b    | 75      | a      |
      | 30   | 5    | none | b    | 60      | none   |
      | 30   | 5    | b    | a    | 40      | b      |

  Scenario Outline: A new or restarted backend server ramps up over 10 s
    Given 20 "<router>" routers with 6 warm backend servers and seed 10
    When backend server "s0" restarts with a new incarnation
    And requests are routed for 1 seconds
    Then backend server "s0" got <early> of its fair share
    When requests are routed for 10 seconds
    And requests are routed for 3 seconds
    Then backend server "s0" got over 70% of its fair share

    Examples:
      | router      | early     |
      | two-choices | under 25% |
      | uniform     | over 70%  |

  Scenario: Backend servers that are starting, draining or excluded are not picked
    Given 1 "two-choices" router with 6 warm backend servers and seed 11
    When "s0" is starting, "s1" is draining, "s2" refuses as draining and "s3" is excluded
    Then 2000 picks return only "s4" and "s5", and none when both are excluded

  Scenario: A refusal for overload lowers the traffic share for a short time
    Given 1 "two-choices" router with 6 warm backend servers and seed 12
    When backend server "s0" refuses 4 calls for overload
    And 100 requests are routed
    Then backend server "s0" got under 40% of its fair share
    When 1000 requests are routed
    And 2000 requests are routed
    Then backend server "s0" got over 80% of its fair share

  Scenario: An old load report counts less than a recent one
    Given 1 "two-choices" router with 6 warm backend servers and seed 13
    When backend server "s0" reports a long queue that is 10 s old
    And 2000 requests are routed
    Then backend server "s0" got over 80% of its fair share
    When backend server "s0" reports a long queue that is 0 s old
    And 2000 requests are routed
    Then backend server "s0" got under 40% of its fair share

  Scenario: State is kept for current members only
    Given 1 "two-choices" router with 6 warm backend servers and seed 14
    When the members are replaced 500 times with calls in flight
    Then the router tracks 6 backend servers, and none once the service has no members
