Feature: Connections of a node to the replicas
  Guards against connections, table replies and heartbeats that grow with the number of
  replicas, and against a node that loses the replicas when they are replaced.

  Scenario: A node connects to the voters only
    Given a replica directory with the configured replicas a, b and c
    When replica "a" lists the voters a, b, d, e and f
    And the replicas a, b, c, d and e are connected
    Then the wanted replicas are a, b, d, e and f

  Scenario: Configured replicas stay connected until most voters are
    Given a replica directory with the configured replicas a, b and c
    When replica "a" lists the voters d, e and f
    And the replicas a and d are connected
    Then the wanted replicas are a, b, c, d, e and f

  Scenario: Configured replicas are used again once most voters are lost
    Given a replica directory with the configured replicas a, b and c
    When replica "d" lists the voters d, e and f
    And the configured replicas change to g and h
    And the replica d is connected
    Then the wanted replicas are d, e, f, g and h

  Scenario: The list of a lost replica is discarded
    Given a replica directory with the configured replicas a, b and c
    When replica "a" lists the voters a, b and c
    And replica "b" lists the voters b, c and d
    And the replicas b, c and d are connected
    And lists of replicas that are not connected expire
    Then the wanted replicas are b, c and d

  Scenario: An empty list of a replica that was not admitted hides no replica
    Given a replica directory with the configured replicas a, b and c
    When replica "a" lists no voters
    And the replicas a and b are connected
    Then the wanted replicas are a, b and c
