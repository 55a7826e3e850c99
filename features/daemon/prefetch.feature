Feature: Subscriptions ahead of the first request
  Guards against a node that refuses the first requests of a service, because it asks for
  the members of the service only then and cannot reach the replicas at that moment.

  Scenario: The services of the table are subscribed to without a request
    Given a node whose table sends requests to the services "archive,store"
    When no request arrives
    Then the node has subscribed to "archive,store"

  Scenario: A service that a later table adds is subscribed to
    Given a node whose table sends requests to the services "archive"
    When a later table also sends requests to the service "store"
    Then the node has subscribed to "archive,store"

  Scenario: A table with many services does not subscribe a node to all of them
    Given a node whose table sends requests to 40 services of rising weight
    When no request arrives
    Then the node has subscribed to the 16 services of the highest weights

  Scenario: Nodes that start together do not ask the replicas at the same time
    Given 200 nodes that start together
    Then their first subscriptions are due over at least 2 s, none before 4 s
