Feature: Backpressure at the entry node
  Guards against starting roots that a downstream service will refuse, and against
  backpressure that never ends.

  # One in 50 roots that would be refused is admitted as a probe.
  Scenario: Roots below the admitted weight of a downstream service are refused, except for probes
    Given backpressure "reported"
    When service "audits" reports admitted weight 100 with age 300 ms
    Then of 500 roots of weight 50 to "audits", 10 are admitted
    And of 10 roots of weight 100 to "audits", 10 are admitted
    And of 10 roots of weight 50 to "tariffs", 10 are admitted

  Scenario: Without backpressure every root is admitted
    Given backpressure "ignored"
    When service "audits" reports admitted weight 100 with age 300 ms
    Then of 500 roots of weight 50 to "audits", 500 are admitted

  Scenario: A report expires when its age reaches the limit
    Given backpressure "reported"
    When service "audits" reports admitted weight 100 with age 300 ms
    And 1600 ms pass after the reports
    Then of 10 roots of weight 50 to "audits", 0 are admitted
    When 100 ms pass after the reports
    Then of 10 roots of weight 50 to "audits", 10 are admitted

  Scenario: An older report does not replace a newer one
    Given backpressure "reported"
    When service "audits" reports admitted weight 100 with age 300 ms
    And service "audits" reports admitted weight 0 with age 10 ms
    And service "audits" reports admitted weight 100 with age 200 ms
    Then of 10 roots of weight 50 to "audits", 10 are admitted

  Scenario: Roots are not refused while one backend server of the service admits them
    Given backpressure "reported"
    When backend server "audits-1" of "audits" reports admitted weight 100
    And backend server "audits-2" of "audits" reports admitted weight 0
    Then of 100 roots of weight 50 to "audits", 100 are admitted
    When backend server "audits-2" of "audits" reports admitted weight 60
    Then of 100 roots of weight 50 to "audits", 2 are admitted

  Scenario: Ages add up while reports circulate between two nodes
    Given backpressure "reported"
    When service "audits" reports admitted weight 100 with age 0 ms
    And its reports circulate between two nodes every 100 ms for 3000 ms
    Then of 10 roots of weight 50 to "audits", 10 are admitted

  Scenario: The number of reported services is bounded
    Given backpressure "reported"
    When 1000 services report admitted weight 100
    Then 256 reports are sent upstream
