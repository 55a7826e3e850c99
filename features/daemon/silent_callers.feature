Feature: Callers that stop sending in the middle of a body
  Guards against requests that never end because their caller sends the body slowly or
  stops, and against a truncated body that is taken for a complete one.

  Scenario Outline: A caller that does not send a short body in time
    When a caller <does> a body of 50 bytes <framing> in a request that is <place>, with a body timeout of 200 ms
    Then the caller is told by 408 that its request did not run
    And the entry service of the listener received no request

    Examples:
      | does            | framing       | place |
      | stops within    | with a length | kept  |
      | stops within    | with a length | last  |
      | stops within    | in chunks     | kept  |
      | stops within    | in chunks     | last  |
      | trickles        | with a length | kept  |
      | trickles        | with a length | last  |
      | trickles        | in chunks     | kept  |
      | trickles        | in chunks     | last  |
      | never begins    | with a length | kept  |
      | never begins    | in chunks     | last  |

  Scenario: A caller that stops in the middle of a long body
    When a caller stops within a body of 200000 bytes with a length in a request that is kept, with a body timeout of 200 ms
    Then the entry service of the listener got an error and no end of the body
