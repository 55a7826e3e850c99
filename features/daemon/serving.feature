Feature: Running calls at the own backend server
  Guards against a run that starts after it was reported as not started, slots that
  are lost or given back too early, and a crash that is counted twice or blamed on a
  request that only happened to run at the same time.

  Scenario: A cancelled call that waits for its claim never starts
    When a call that may not be repeated is cancelled while it waits for its claim
    And its claim is granted afterwards
    Then that call has not started and its claim is recorded as abandoned

  Scenario: A call that expires while it waits for its claim never starts
    When a call that may not be repeated expires while it waits for its claim
    And its claim is granted afterwards
    Then the call was refused because of its deadline
    And that call has not started and its claim is recorded as abandoned

  Scenario: A started run keeps its slot when its caller leaves
    When the caller of a started run under a claim leaves
    Then the run keeps its slot until it ends and its end is recorded

  Scenario: A started run that outlives its deadline has an unknown outcome in time
    When a started run under a claim takes longer than its deadline
    Then the call failed because of its deadline before the run ended
    And the run keeps its slot until it ends and its end is recorded

  Scenario: A call cancelled right after its admission gives its slot back
    When a call that waits for the only slot is cancelled in the moment of admission
    Then the next call is admitted at the gate

  Scenario: A crash breaks many connections and counts once
    When 20 calls of one content and 5 of another break in one incarnation
    Then each content is reported once and with the same report

  Scenario: The same content in two incarnations counts twice
    When a content breaks in two incarnations
    Then the reports of that content have different ids

  Scenario: A popular request is no suspect beside one that never succeeds
    When a content that has just succeeded breaks beside one that never did
    Then only the content that never succeeded is reported

  Scenario: A request that crashes only sometimes is still found
    When a content that has just succeeded breaks alone
    Then that content is reported
