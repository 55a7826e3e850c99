Feature: Running calls at the local backend server
  Guards against a run that starts after it was reported as not run, slots that leak or
  are released too early, and a crash that is counted twice or attributed to a request
  that only ran at the same time.

  Scenario: A call that is cancelled while it waits for its claim is never started
    When a non-repeatable call is cancelled while it waits for its claim
    And its claim is granted afterwards
    Then that call has not started and its claim is recorded as abandoned

  Scenario: A call that expires while it waits for its claim is never started
    When a non-repeatable call expires while it waits for its claim
    And its claim is granted afterwards
    Then the call was refused because of its deadline
    And that call has not started and its claim is recorded as abandoned

  Scenario: A started run holds its slot after its caller disconnects
    When the caller of a started run under a claim disconnects
    Then the run holds its slot until it ends and its end is recorded

  Scenario: The outcome of a run that exceeds its deadline is reported as unknown in time
    When a started run under a claim takes longer than its deadline
    Then the call failed because of its deadline before the run ended
    And the run holds its slot until it ends and its end is recorded

  Scenario: A call that is cancelled right after its admission releases its slot
    When a call that waits for the only slot is cancelled at the moment of admission
    Then the next call at the admission gate is admitted

  Scenario: A crash that breaks many connections is counted once
    When 20 calls of one content and 5 of another lose their connection in one incarnation
    Then each content is reported once under the same report id

  Scenario: Crashes with the same content in two incarnations are counted twice
    When calls of one content lose their connection in two incarnations
    Then the reports of that content have different ids

  Scenario: A recently successful request is no suspect beside one that never succeeded
    When a call that recently succeeded and one that never did lose their connections
    Then only the content that has never succeeded is reported

  Scenario: A request that crashes only sometimes is still reported
    When only a call that recently succeeded loses its connection
    Then that content is reported
