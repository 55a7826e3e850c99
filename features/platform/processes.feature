Feature: The platform's interfaces with separate processes
  Guards against interfaces that do not work together, and against a replica with a wiped
  disk that is not admitted again or loses acknowledged configurations.

  Scenario: A configuration is put, served and survives a wiped replica
    Given three seeds, a further replica and a node with the platform's settings
    When the operator puts a configuration with a route to the server of the node
    Then the node becomes ready and a request on the route gets the server's answer
    And a request on an unknown host gets status 404
    And the same configuration put again is acknowledged and another one on its base is not
    When a seed loses its disk and starts again
    Then it is a voter again with a new identity and the lost identity is removed
    And the leader returns the configuration as sent and the others redirect to it
