Feature: Failures of nodes and backend servers
  Guards against a second run of a settlement (a request that is not repeatable),
  requests interrupted by a shutdown, new work for a draining backend server, and a
  request that crashes one backend server after another.

  Background:
    Given a deployment with many stores and servers that crash on a marker

  Scenario: The serving node is killed between the claim and its end
    When the node that serves a slow settlement is killed
    Then the sender is told that the outcome is unknown
    And resends of the settlement are told that it is unknown and it ran once

  Scenario: The serving node is frozen past the deadline
    When the node that serves a slow settlement is stopped past its deadline and resumed
    Then the sender is told that the outcome is unknown
    And resends of the settlement are never told that it has not run and it ran once

  Scenario: Calls queued in a frozen node past their deadline are not executed later
    When settlements are sent to a frozen node and it is resumed after their deadlines
    Then each of those settlements ran at most once and those told not-run never ran

  Scenario: A draining backend server gets no new work
    When a store server drains while calls continue
    Then no call was sent to it after its node had learned of the drain
    And no call started at it later than 3 seconds after the drain
    And every call made during the drain was answered

  Scenario: An upload survives the shutdown of its serving node
    When the node that serves an upload gets SIGTERM in the middle of it
    Then the upload is complete and the node ends with status 0

  Scenario: An upload survives the shutdown of its entry node
    When the entry node of an upload gets SIGTERM in the middle of it
    Then new calls to that node are refused as not-run
    And the upload is complete and the node ends with status 0

  Scenario: A download survives the shutdown of its entry node
    When the entry node of a download gets SIGTERM in the middle of it
    Then the download is complete and the node ends with status 0

  Scenario: A second signal forces the shutdown and logs the interrupted requests
    When the node that serves an upload gets SIGTERM twice in the middle of it
    Then the upload is not reported as done
    And the node ends with status 1 and logs the upload as interrupted

  Scenario: A truncated answer is never reported as complete
    When a backend server is killed in the middle of a download
    Then the caller's download ends with an error before it is complete

  Scenario: A request that crashes backend servers is quarantined
    When a request crashes two fragile servers while a popular request is in flight
    Then the request is refused through every node, also under new keys
    And no third server has crashed and the popular request is served
