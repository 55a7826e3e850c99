Feature: Settings of the daemon
  Guards against a shutdown that ends later than the platform ends the process, which
  cuts off answers that are ready.

  Scenario Outline: The shutdown ends within the termination grace
    Given settings of a node with a termination grace of "<grace>"
    Then its shutdown limit is <limit> ms

    Examples:
      | grace  | limit |
      | 6s     | 5200  |
      | 10s    | 9200  |
      | 1500ms | 700   |
      | 500ms  | 0     |

  Scenario: A termination grace without a unit is refused
    Given settings of a node with a termination grace of "6"
    Then the settings are refused because of "termination_grace"
