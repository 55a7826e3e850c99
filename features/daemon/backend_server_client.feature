Feature: HTTP client of the local backend server
  Guards against a request that the HTTP library resends by itself, a refusal of a
  request that may have run, a truncated answer that is taken for a complete one, and a
  truncated upload that is reported as a failure of the backend server, and a process
  that is taken for alive while it ends, so that a request that crashed it is sent again.

  Scenario: A request is not resent when its reused connection breaks
    When a scripted backend server closes a reused connection after reading a request
    Then the client reports a broken exchange
    And the scripted backend server has read that request once

  Scenario: A refused connection proves that the request did not run
    When no backend server listens at the client's address
    Then the client reports that it was not connected

  Scenario Outline: A backend server that accepts a connection may be about to end
    When a scripted backend server accepts connections and <then>
    Then the client reports that the backend server is <state>

    Examples:
      | then             | state     |
      | keeps them open  | alive     |
      | ends after 10 ms | not alive |

  Scenario Outline: A truncated answer is an error
    When a scripted backend server truncates <answer>
    Then reading the answer fails

    Examples:
      | answer                       |
      | a short answer with a length |
      | a long answer with a length  |
      | a chunked answer             |
      | the head of an answer        |

  Scenario: A truncated upload is not a failure of the backend server
    When the body of a call is truncated while a scripted backend server reads it
    Then the client reports the caller's error
    And the scripted backend server did not see the end of the body

  Scenario: Cancelling a request closes its connection
    When a request to a scripted backend server is cancelled while it runs
    Then the scripted backend server sees the end of that connection
