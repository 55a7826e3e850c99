Feature: The membership registry
  Guards against a lost backend server that stays listed, a late message that re-adds
  one, a draining one that keeps receiving requests, heartbeats that use up memory, and
  a replica with most of the services.

  Background:
    Given an empty membership registry

  Scenario: A watcher gets the full list once and then only changes
    When server "s1" of service "pay" announces "ready" as 1.1
    Then watching service "pay" as "n1" gives the full list s1:ready
    And heartbeat 1.2 of server "s1" of service "pay" as "ready" pushes nothing
    And heartbeat 1.1 of server "s2" of service "pay" as "starting" pushes s2:starting to n1
    And heartbeat 1.2 of server "s2" of service "pay" as "ready" pushes s2:ready to n1
    And heartbeat 1.1 of server "s3" of service "audit" as "ready" pushes nothing

  Scenario: A draining member is pushed at once and stays listed
    When server "s1" of service "pay" announces "ready" as 1.1
    Then watching service "pay" as "n1" gives the full list s1:ready
    And heartbeat 1.2 of server "s1" of service "pay" as "draining" pushes s1:draining to n1
    And the members of service "pay" are s1:draining

  Scenario: Older and repeated announcements are ignored
    When server "s1" of service "pay" announces "draining" as 2.5
    Then heartbeat 2.4 of server "s1" of service "pay" as "ready" is ignored
    And heartbeat 2.5 of server "s1" of service "pay" as "ready" is ignored
    And heartbeat 1.9 of server "s1" of service "pay" as "ready" is ignored
    When server "s1" of service "pay" announces "ready" as 3.1
    Then the members of service "pay" are s1:ready

  Scenario: A lease expires only if it is not renewed
    When server "s1" of service "pay" announces "ready" as 1.1
    Then watching service "pay" as "n1" gives the full list s1:ready
    When 2900 ms pass and server "s1" of service "pay" announces "ready" as 1.2
    Then a membership tick after 2999 ms pushes nothing
    And a membership tick after 1 ms pushes s1:gone to n1
    And the members of service "pay" are nobody
    And a membership tick after 1 ms pushes nothing

  Scenario: Heartbeats and short leases do not increase the number of scheduled checks
    When server "s1" announces itself 500 times with leases from 9000 down to 1000 ms
    Then the number of scheduled checks of the membership registry is at most 8

  Scenario: Heartbeats with equal leases need one scheduled check
    When server "s1" announces itself 500 times with leases from 9000 down to 9000 ms
    Then the number of scheduled checks of the membership registry is at most 1

  Scenario: A late announcement does not re-add a member that is gone
    When server "s1" of service "pay" announces "ready" as 1.5
    Then watching service "pay" as "n1" gives the full list s1:ready
    And heartbeat 1.6 of server "s1" of service "pay" as "gone" pushes s1:gone to n1
    And heartbeat 1.5 of server "s1" of service "pay" as "ready" pushes nothing
    And the members of service "pay" are nobody
    And heartbeat 2.1 of server "s1" of service "pay" as "ready" pushes s1:ready to n1

  # Guards against a server that has left and is in use again after a restart of the node
  # beside it, which forgets the departure: a late heartbeat revives it.
  Scenario: A server that has deregistered is not listed again by a node that restarts
    When server "s1" of service "pay" announces "ready" as 5.1
    And server "s1" of service "pay" deregisters as 5.2
    Then heartbeat 5.3 of server "s1" of service "pay" as "ready" is ignored
    And heartbeat 5.4 of server "s1" of service "pay" as "gone" is ignored
    And heartbeat 5.5 of server "s1" of service "pay" as "ready" is ignored
    When server "s1" of service "pay" announces "ready" as 6.1
    Then the members of service "pay" are s1:ready

  Scenario: A server that was only lost is listed again
    When server "s1" of service "pay" announces "gone" as 5.2
    And server "s1" of service "pay" announces "ready" as 5.3
    Then the members of service "pay" are s1:ready

  Scenario: A server that is announced long after its departure is listed again
    When server "s1" of service "pay" deregisters as 5.2
    And 30000 ms pass and server "s1" of service "pay" announces "ready" as 5.9
    Then the members of service "pay" are s1:ready

  Scenario: A leave notice that arrives before the announcement blocks it
    When server "s1" of service "pay" announces "gone" as 1.2
    And server "s1" of service "pay" announces "ready" as 1.1
    Then the members of service "pay" are nobody

  Scenario: A server that changes its service is removed from the old one
    When server "s1" of service "pay" announces "ready" as 1.1
    Then watching service "pay" as "n1" gives the full list s1:ready
    And heartbeat 2.1 of server "s1" of service "audit" as "ready" pushes s1:gone to n1
    And the members of service "audit" are s1:ready

  Scenario: A watcher whose connection ended gets no further pushes
    When server "s1" of service "pay" announces "ready" as 1.1
    Then watching service "pay" as "n1" gives the full list s1:ready
    When watcher "n1" is removed from the registry
    Then heartbeat 1.2 of server "s1" of service "pay" as "draining" pushes nothing

  Scenario Outline: An announcement that is not valid is refused
    Then announcing server "<id>" with state "<state>" and lease <lease> ms is refused

    Examples:
      | id | state  | lease |
      | s1 | asleep | 3000  |
      | s1 | ready  | 0     |
      | s1 | ready  | nan   |
      | s1 | ready  | 1e9   |
      |    | ready  | 3000  |

  Scenario Outline: Watchers that apply every push agree with the registry
    When 5000 random membership events happen with seed <seed>
    Then every view of a watcher equals the members of its service
    And the membership registry is empty after all leases expired

    Examples:
      | seed |
      | 31   |
      | 32   |

  Scenario: Services are balanced over the replicas and move only with a lost replica
    Then 340 services have 2 of 5 replicas each, with 90 to 185 services on each
    And only the services of a lost replica get a new one
