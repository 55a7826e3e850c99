Feature: HTTP connections to the backend server
  Guards against an answer that is matched to the wrong request, a part of an answer
  that is taken for the whole, and a reused connection that carries left-over bytes.

  Scenario: A late answer of an earlier request is passed over
    When a backend server sends the answer of request "old" before that of "new"
    Then the client returns the body of "new"

  Scenario: A second answer after the right one ends the connection
    When a backend server sends the answer of "new" twice and is asked again
    Then both requests are answered on two connections

  Scenario Outline: An answer without a length ends with a clean close only
    When a backend server sends an answer without a length and <end> the connection
    Then the client <result>

    Examples:
      | end    | result                     |
      | closes | returns the body of "new"  |
      | resets | reports a broken answer    |

  Scenario: A connection with an announced idle time is not used beyond it
    When a backend server announces an idle time of 1 s and is asked again
    Then both requests are answered on two connections

  Scenario: An answer before the end of a long body ends the connection
    When a backend server answers before it has read a long body and is asked again
    Then both requests are answered on two connections

  Scenario: A streamed answer that was read to its end keeps the connection
    When a backend server sends a long chunked answer and is asked again while it is given up
    Then both requests are answered on one connection
