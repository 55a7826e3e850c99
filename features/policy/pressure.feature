Feature: Backpressure at the entry
  Guards against roots that use resources although a deep service will refuse them,
  and against backpressure that never ends.

  Scenario: Roots below the admitted weight of a deep service are refused, with probes
    Given a pressure map "reported"
    When service "audits" reports admitted weight 100 with age 300 ms
    Then 500 roots of weight 50 to "audits" give 10 probes
    And 10 roots of weight 100 to "audits" give 10 probes
    And 10 roots of weight 50 to "tariffs" give 10 probes

  Scenario: Without the decision every root goes through
    Given a pressure map "ignored"
    When service "audits" reports admitted weight 100 with age 300 ms
    Then 500 roots of weight 50 to "audits" give 500 probes

  Scenario: A report is forgotten when its age reaches the bound
    Given a pressure map "reported"
    When service "audits" reports admitted weight 100 with age 300 ms
    And 1600 ms pass for the pressure map
    Then 10 roots of weight 50 to "audits" give 0 probes
    When 100 ms pass for the pressure map
    Then 10 roots of weight 50 to "audits" give 10 probes

  Scenario: An older report does not replace a newer one
    Given a pressure map "reported"
    When service "audits" reports admitted weight 100 with age 300 ms
    And service "audits" reports admitted weight 0 with age 10 ms
    And service "audits" reports admitted weight 100 with age 200 ms
    Then 10 roots of weight 50 to "audits" give 10 probes

  Scenario: One shedding backend server does not refuse roots that another one admits
    Given a pressure map "reported"
    When backend server "audits-1" of "audits" reports admitted weight 100
    And backend server "audits-2" of "audits" reports admitted weight 0
    Then 100 roots of weight 50 to "audits" give 100 probes
    When backend server "audits-2" of "audits" reports admitted weight 60
    Then 100 roots of weight 50 to "audits" give 2 probes

  Scenario: Ages add up while reports circulate between two maps
    Given a pressure map "reported"
    When service "audits" reports admitted weight 100 with age 0 ms
    And its reports circulate between two maps every 100 ms for 3000 ms
    Then 10 roots of weight 50 to "audits" give 10 probes

  Scenario: The number of services is bounded
    Given a pressure map "reported"
    When 1000 services report admitted weight 100
    Then the pressure map passes on 256 reports
