Feature: The way of one request through logs
  Guards against a failed request whose cause cannot be found from the logs alone.

  Scenario: Lines of several processes are put in order and the cause is named
    Given the logs of an entry node and a serving node about request "a1"
    When request "a1" is explained
    Then its lines are shown in time order
    And the cause says that the slots and queue were taken

  Scenario: A cut line and lines of other requests are passed over
    Given the logs of an entry node and a serving node about request "a1"
    And a log that is cut in the middle of a line about "a1"
    When request "a1" is explained
    Then 1 line is reported as unreadable
    And the cause says that the slots and queue were taken

  Scenario: A trail without an outcome says where it ends
    Given a log of a serving node alone about request "a1"
    When request "a1" is explained
    Then the cause names "node-b" as the end of the trail

  Scenario: A request that only a summary names
    Given a log with a summary that names request "a1"
    When request "a1" is explained
    Then the cause says that its lines were left out
