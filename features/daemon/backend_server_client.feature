Feature: The client to the own backend server
  Guards against a request that the HTTP library sends a second time by itself, a
  refusal that does not prove that nothing ran, a broken answer that is taken for a
  complete one, and a caller's broken upload that is blamed on the backend server.

  Scenario: A reused connection that breaks is not used for a second attempt
    When a raw backend server closes a reused connection after reading a request
    Then the client reports a broken exchange
    And the raw backend server has read that request once

  Scenario: A refused connection proves that nothing ran
    When no backend server listens at the client's address
    Then the client reports that it was not connected

  Scenario Outline: An answer that breaks off is an error
    When a raw backend server breaks off <answer>
    Then reading the client's answer ends in an error

    Examples:
      | answer                       |
      | a short answer with a length |
      | a long answer with a length  |
      | a chunked answer             |
      | the head of an answer        |

  Scenario: An upload that breaks off is no fault of the backend server
    When the body of a call breaks off while a raw backend server reads it
    Then the client reports the fault of the caller
    And the raw backend server did not see the end of the body

  Scenario: Cancelling a request closes its connection
    When a request to a raw backend server is cancelled while it runs
    Then the raw backend server sees the end of that connection
