Feature: Heartbeats of the platform's servers
  Guards against a late or malformed heartbeat, or one of an earlier incarnation, that
  changes the state of the backend server on the same VM.

  Background:
    Given a node whose heartbeat interface has received nothing

  Scenario: A server announces itself, drains and deregisters
    When server "i-1" born at 100 sends heartbeat 1 as "ready"
    Then the node knows a "ready" server "i-1"
    When server "i-1" born at 100 sends heartbeat 2 as "draining"
    Then the node knows a "draining" server "i-1"
    When server "i-1" deregisters
    Then the node knows a "gone" server "i-1"

  Scenario: A late heartbeat does not reset a draining server to ready
    When server "i-1" born at 100 sends heartbeat 2 as "draining"
    And server "i-1" born at 100 sends heartbeat 1 as "ready"
    Then the node knows a "draining" server "i-1"

  Scenario: A heartbeat of an earlier incarnation is ignored
    When server "i-2" born at 200 sends heartbeat 1 as "ready"
    And server "i-1" born at 100 sends heartbeat 9 as "draining"
    And server "i-1" deregisters
    Then the node knows a "ready" server "i-2"

  Scenario: A restart with the same id starts a new sequence
    When server "i-1" born at 100 sends heartbeat 9 as "draining"
    And server "i-1" born at 300 sends heartbeat 1 as "ready"
    Then the node knows a "ready" server "i-1"

  # Guards against a server that is put back into use by a heartbeat that it sent before
  # it deregistered and that arrives after that.
  Scenario: A late heartbeat does not bring back a server that has deregistered
    When server "i-1" born at 100 sends heartbeat 1 as "ready"
    And server "i-1" deregisters
    And server "i-1" born at 100 sends heartbeat 3 as "ready"
    Then the node knows a "gone" server "i-1"

  Scenario: The replicas learn whether a server has left or cannot be reached
    When server "i-1" born at 100 sends heartbeat 1 as "ready"
    Then the replicas are told that it is "ready" and has not left
    When it cannot be reached
    Then the replicas are told that it is "gone" and has not left
    When server "i-1" deregisters
    Then the replicas are told that it is "gone" and has left

  Scenario: A late heartbeat of a server whose departure is all that the node knows of it
    When server "i-1" deregisters
    And server "i-1" born at 100 sends heartbeat 3 as "ready"
    Then the node knows no server

  Scenario: A departure does not concern a later start under the same id
    When server "i-1" born at 100 sends heartbeat 1 as "ready"
    And server "i-1" deregisters
    And server "i-1" born at 300 sends heartbeat 1 as "ready"
    Then the node knows a "ready" server "i-1"

  # A deregistration may itself be late and then name the id of the next start.
  Scenario: A server that still sends heartbeats long after a departure is in use
    When server "i-1" born at 100 sends heartbeat 1 as "ready"
    And server "i-1" deregisters
    And 31 s pass
    And server "i-1" born at 100 sends heartbeat 22 as "ready"
    Then the node knows a "ready" server "i-1"

  Scenario Outline: A malformed heartbeat is refused and changes nothing
    When server "i-1" born at 100 sends heartbeat 1 as "ready"
    And a heartbeat with <fault> arrives
    Then the heartbeat is answered with 400
    And the node knows a "ready" server "i-1"

    Examples:
      | fault               |
      | no JSON             |
      | an unknown state    |
      | a text as sequence  |
      | no service          |
      | a list as info      |
      | a faulty address    |

  # Guards against a node that stops following the replicas: what it sends them of its
  # server could not be encoded, and the task that speaks with them ended.
  Scenario Outline: A heartbeat out of range is refused and changes nothing
    When server "i-1" born at 100 sends heartbeat 1 as "ready"
    And a heartbeat with <fault> arrives
    Then the heartbeat is answered with 400
    And the node knows a "ready" server "i-1"

    Examples:
      | fault                               |
      | too many slots                      |
      | a start above 64 bits               |
      | a sequence above 64 bits            |
      | the port 99999                      |
      | the port 0                          |
      | the port ²                          |
      | a port of 5000 digits               |
      | a control character in its service  |
      | deep nesting                        |

  Scenario: A heartbeat of an instance that no header can name is refused
    When a heartbeat of an instance with a control character in its id arrives
    Then the heartbeat is answered with 400

  # Guards against a heartbeat of another writer that replaces the server of a VM, so that
  # requests that begin there name a foreign service as their caller.
  Scenario: A heartbeat of a service that nobody names does not replace the server
    Given the table in force names the services "huvo11a" and "lovo22d"
    When server "i-1" born at 100 sends heartbeat 1 as "ready"
    And a heartbeat of service "stranger" born at 900 arrives
    Then the heartbeat is answered with 400
    And the node knows a "ready" server "i-1"
    When server "i-1" born at 100 sends heartbeat 2 as "draining"
    Then the node knows a "draining" server "i-1"

  Scenario: The address of a server may pass to another service that the table names
    Given the table in force names the services "huvo11a" and "lovo22d"
    When server "i-1" born at 100 sends heartbeat 1 as "ready"
    And a heartbeat of service "lovo22d" born at 900 arrives
    Then the heartbeat is answered with 200
    And the node knows a "ready" server "i-9"

  Scenario: The server of a service that the table no longer names can still leave
    Given the table in force names the services "huvo11a" and "lovo22d"
    When server "i-1" born at 100 sends heartbeat 1 as "ready"
    And the table in force names the service "lovo22d" only
    And server "i-1" born at 100 sends heartbeat 2 as "draining"
    Then the node knows a "draining" server "i-1"

