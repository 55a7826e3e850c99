Feature: Retries along a chain of services
  Guards against a retry bound that holds only because nothing retries: without the
  bound, the same chain must exceed it. Also guards against a node that runs requests
  without a table or whose shutdown waits for replicas.

  Scenario: Without the bound, the same chain exceeds the limit
    Given the same call chain with the decision "retry-bound" turned off
    When a call over three services fails at the last one and each server resends
    Then the runs of the chain hold more than 2 retries

  Scenario: A node without reachable replicas admits no requests
    Given a node that cannot reach any replica
    When a call is sent to that node
    Then it is refused because there is no table and did not run
    And that node is not healthy and ends with status 0 on SIGTERM
