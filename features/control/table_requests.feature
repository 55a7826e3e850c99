Feature: One replica at a time is asked for the table
  Guards against a table that every replica sends to every node after each change, and
  against a node that waits for a replica which does not answer.

  Scenario: Five announcements lead to one request
    Given table requests to the replicas a, b, c, d and e
    When each of the replicas announces a version and is followed by a choice
    Then the choices were a and nothing else

  Scenario: The replica that announces a version is asked
    Given table requests to the replicas a, b, c, d and e
    When replica "d" announces a version
    Then "d" is asked for the table

  Scenario: Another replica is asked after 250 ms without a reply
    Given table requests to the replicas a, b, c, d and e
    When replica "d" announces a version
    Then "d" is asked for the table
    When 240 ms pass without a reply
    Then no replica is asked for the table
    When 20 ms pass without a reply
    Then a replica other than "d" is asked for the table

  Scenario: After a reply the next request is free
    Given table requests to the replicas a, b, c, d and e
    When replica "d" announces a version
    Then "d" is asked for the table
    When replica "d" replies
    And replica "b" announces a version
    Then "b" is asked for the table
