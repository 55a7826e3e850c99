Feature: HTTP connections to the backend server
  Guards against an answer that is matched to the wrong request, a truncated answer that
  is taken for a complete one, reuse of a connection with unread bytes, and an abandoned
  answer that resets the next request.

  Scenario: A late answer to an earlier request is skipped
    When a backend server sends the answer to request "old" before that to "new"
    Then the client returns the body of "new"

  Scenario: A connection is not reused after a surplus answer
    When a backend server answers "new" twice and gets a second request
    Then both requests are answered on two connections

  Scenario Outline: An answer without a length is complete only after a clean close
    When a backend server sends an answer without a length and <end> the connection
    Then the client <result>

    Examples:
      | end    | result                     |
      | closes | returns the body of "new"  |
      | resets | reports a broken answer    |

  Scenario: A connection is not reused within the margin before its announced idle time
    When a backend server announces an idle time of 1 s and gets a second request
    Then both requests are answered on two connections

  Scenario: A connection is not reused after an answer that precedes the end of the body
    When a backend server answers before it has read a long body and gets a second request
    Then both requests are answered on two connections

  Scenario: Abandoning an answer that was read in full does not reset the next request
    When a long chunked answer that was read in full is abandoned during a second request
    Then both requests are answered on one connection

  # Guards against a request that runs twice, or that runs and is refused as not run: the
  # late second copy of its refusal carries the same id as the next send of the request.
  Scenario Outline: A second copy of a refusal does not answer the next send of its request
    When a backend server refuses a request and sends the refusal again before its next answer, with a limit of <limit> connections
    Then the second send of the request is answered

    Examples:
      | limit |
      | 10    |
      | 1     |

  # Guards against an answer that the node beside the server accepts and the node of the
  # caller cannot write: its exchange ended without an answer, and the caller took the
  # next answer on the connection for it.
  Scenario Outline: An answer that cannot be forwarded is a broken answer
    When a backend server sends an answer with <fault>
    Then the client reports a broken answer

    Examples:
      | fault                        |
      | the header byte 01           |
      | the header byte 7f           |
      | the status 099               |
      | the status 101               |
      | the status 600               |

  # Guards against a request that is refused as not run while it runs, or runs at a second
  # server: the server writes an earlier refusal once more, without the id of a request.
  Scenario: A refusal that names no request is not an answer on a connection in use again
    When a backend server that has answered a request refuses one without an id before its next answer
    Then the second request is answered

  # Guards against a caller that gets a 200 with an empty or short body, framed as whole.
  Scenario Outline: An answer that stops anywhere before its end is a broken answer
    When a backend server closes after each part of an answer framed by <framing>
    Then the client reports a broken answer for each

    Examples:
      | framing  |
      | a length |
      | chunks   |
      | a close  |

  # Guards against an answer that is ready and is not delivered: it was dropped if what
  # follows it in the same read is malformed.
  Scenario Outline: Malformed bytes behind a whole answer do not cost the caller the answer
    When a backend server sends an answer framed by <framing> and malformed bytes in one write
    Then both requests are answered on two connections

    Examples:
      | framing  |
      | a length |
      | chunks   |

  # Guards against the fault of review case 3 on the way to the server: an answer that says
  # that its connection closes, and whose body arrives after its head.
  Scenario Outline: An answer is whole however its bytes are divided
    When a backend server sends an answer framed by <framing> byte by byte, and says <connection>
    Then the client returns the body of "new"

    Examples:
      | framing  | connection        |
      | a length | keep-alive        |
      | a length | close             |
      | chunks   | keep-alive        |
      | chunks   | close             |
      | a close  | close             |

  # Guards against a node that holds, or reads for as long as its server likes, what is
  # not passed on to a caller.
  Scenario Outline: An answer without end that is not passed on is given up
    When a backend server sends <kind> without end
    Then the client reports a broken answer

    Examples:
      | kind                         |
      | a head of many lines         |
      | a head of one line           |
      | bytes without a line         |
      | an answer to another request |

  Scenario: A refusal whose body has no end is a refusal
    When a backend server sends a refusal without end
    Then the client reports a refusal
