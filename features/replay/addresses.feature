Feature: Addresses that are reserved before a process starts
  Guards against a replica that cannot bind its port, because the kernel has given it to an
  outgoing connection of another process since it was chosen.

  Scenario: Reserved ports are not in the range of outgoing connections
    When 200 addresses are reserved
    Then the reserved addresses are different
    And no reserved port is in the range of outgoing connections
