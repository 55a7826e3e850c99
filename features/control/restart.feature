Feature: Restart of all VMs
  Guards against nodes that stay without a table for seconds after the replicas are back,
  because their attempts to connect hang, or because the replicas load the HTTP library
  before they serve the nodes.

  Scenario: A node tries several times within the first second of an outage
    Given an outage of a replica that begins at 0 s
    When each attempt to connect times out
    Then at least 3 attempts begin within 1.0 s

  Scenario: Attempts to reach a replica that stays lost get rarer
    Given an outage of a replica that begins at 0 s
    When each attempt to connect times out
    Then at most 9 attempts begin within 10.0 s

  Scenario: The first attempts after a reconnection are quick again
    Given an outage of a replica that begins at 0 s
    When each attempt to connect times out
    And the connection is opened and lost again
    Then at least 3 attempts begin within 1.0 s

  Scenario: A replica takes part in the log before it loads the HTTP library
    When the module of the role control is imported
    Then the HTTP library is not loaded
