Feature: Throttling of roots whose calls are shed downstream
  Guards against an overloaded downstream service that makes nearly every root fail after
  part of its work is done, and against a throttle that persists after the overload or
  starves its row.

  # The bound of 21 percent is the goodput required at high load for the kind of request
  # that fares worst.
  Scenario Outline: Requests still complete at <load> times the capacity of a downstream service
    Given a "<throttle>" throttle for roots with 10 calls each to a service with 200 calls a second
    When roots arrive for 20 s at <load> times the capacity of the service
    Then the completed requests are <bound> <percent> percent of the capacity

    Examples:
      | throttle | load | bound    | percent |
      | open     | 2    | at most  | 10      |
      | adaptive | 2    | at least | 21      |
      | adaptive | 4    | at least | 21      |

  # The work of a root that fails after its start is wasted.
  Scenario Outline: Two of three started roots complete, even with outcomes known late
    Given a "adaptive" throttle for roots with <calls> calls each to a service with 2000 calls a second
    And the outcome of a root is known after 300 ms
    When roots arrive for 20 s at 2 times the capacity of the service
    Then at least 67 percent of the started roots complete

    Examples:
      | calls |
      | 4     |
      | 10    |

  Scenario: The admitted share returns to 1 soon after the overload
    Given a "adaptive" throttle for roots with 10 calls each to a service with 200 calls a second
    When roots arrive for 10 s at 4 times the capacity of the service
    And roots arrive for 6 s at 0.5 times the capacity of the service
    Then the admitted share is 1

  Scenario: A row whose roots fail for another reason is not throttled
    Given a "adaptive" throttle for roots with 10 calls each to a service with 200 calls a second
    When 1000 roots end without a shed call
    Then the admitted share is 1

  # With few roots a window lasts longer; decrease and increase both scale with its length.
  Scenario: A row with few requests is throttled as fast as one with many
    Given a "adaptive" throttle for roots with 10 calls each to a service with 200 calls a second
    When the roots of a row with 2 a second and of a row with 40 a second are all shed for 3 s
    Then the admitted shares of both rows differ by less than 0.1
