Feature: Fewer roots when their calls are shed below
  Guards against a chain of calls under overload that wastes the work of nearly every
  root, and against a throttle that stays after the overload or starves its row.

  # The users' floor for the worst kind of request on a day of high load is 0.21.
  Scenario Outline: A deep service at <load> times its capacity still completes whole requests
    Given a "<throttle>" throttle for roots with 10 calls each to a service with 200 calls a second
    When roots arrive for 20 s at <load> times what the service can carry
    Then the whole requests are <bound> <percent> percent of what the service can carry

    Examples:
      | throttle | load | bound    | percent |
      | open     | 2    | at most  | 10      |
      | adaptive | 2    | at least | 21      |
      | adaptive | 4    | at least | 21      |

  # The work of a root that fails is wasted, and its caller learns of it late.
  Scenario Outline: Two of three roots that start complete
    Given a "adaptive" throttle for roots with <calls> calls each to a service with 2000 calls a second
    And the outcome of a root is known after 300 ms
    When roots arrive for 20 s at 2 times what the service can carry
    Then at least 67 percent of the roots that started are whole

    Examples:
      | calls |
      | 4     |
      | 10    |

  Scenario: The full share is back soon after the overload
    Given a "adaptive" throttle for roots with 10 calls each to a service with 200 calls a second
    When roots arrive for 10 s at 4 times what the service can carry
    And roots arrive for 6 s at 0.5 times what the service can carry
    Then the admitted share is 1

  Scenario: A row whose roots fail for another reason is not throttled
    Given a "adaptive" throttle for roots with 10 calls each to a service with 200 calls a second
    When 1000 roots end without a call that was shed
    Then the admitted share is 1

  # With few roots a window lasts longer, and both directions have to take that time.
  Scenario: A row with few requests is held back as fast as one with many
    Given a "adaptive" throttle for roots with 10 calls each to a service with 200 calls a second
    When all roots of a row with 2 a second and of one with 40 a second are shed for 3 s
    Then the admitted shares of both rows differ by less than 0.1
