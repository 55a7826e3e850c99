Feature: HTTP connections of callers
  Guards against answers in the wrong order, requests smuggled in the body of another
  one, and requests that keep running after their caller has disconnected.

  Background:
    Given a caller listener whose requests run until the test releases them

  Scenario: Pipelined requests run concurrently and are answered in order
    When a caller sends requests "/1" and "/2" at once and "/2" ends first
    Then both requests were running before the first answer
    And the caller gets the answers of "/1" and "/2" in this order

  Scenario: A caller that closes its connection cancels all of its requests
    When a caller sends requests "/1" and "/2" at once and closes the connection
    Then both requests are cancelled

  Scenario: A request smuggled by two Content-Length headers is not run
    When a caller sends two Content-Length headers and another request in the body
    Then the caller gets status 400 and no request was run

  Scenario: An answer sent before the end of a long body closes the connection
    When a request with a long body is answered before the body is complete
    Then the answer announces that the connection closes

  Scenario: At the end of a shutdown, ready answers follow an unknown outcome
    When requests "/1" and "/2" are sent at once, "/2" ends and the listener ends "/1"
    Then the caller gets an unknown outcome of "/1" and then the answer of "/2"

  Scenario: A draining listener announces the close and still answers
    When the listener announces its close while "/1" runs
    Then the answer of "/1" announces that the connection closes

  # Guards against a caller that takes the next answer on its connection for its own.
  Scenario: An answer that cannot be written does not leave its place to the next one
    When the answer of "/1" cannot be written and "/2" was sent behind it
    Then the connection ends without the answer of "/2"

  # Guards against a request that a node accepts and cannot write to the backend server.
  Scenario: A request with a control character in a header is not run
    When a caller sends a header with a control character
    Then the caller gets status 400 and no request was run

  # Guards against an upload that says it is the last request of its connection and is
  # never read.
  Scenario Outline: The body of a last request is read although it arrives after its head
    When a caller sends a request with Connection: close whose body of <size> bytes follows in <parts> parts
    Then the request is run with a body of <size> bytes and is answered

    Examples:
      | size   | parts |
      | 20     | 1     |
      | 900000 | 9     |

  Scenario: A request behind the last one of a connection is not run
    When a caller sends a request behind the body of one with Connection: close
    Then only the first of them is run and answered

  # Guards against a 400 that takes the place of an answer: a request was dropped if
  # bytes that are no request arrived in the same read.
  Scenario Outline: Malformed bytes behind a request do not cost it its answer
    When a caller sends <request> and malformed bytes in one read
    Then the request is answered first, and then <next>

    Examples:
      | request                        | next                     |
      | a request                      | the malformed one by 400 |
      | a request with a body          | the malformed one by 400 |
      | a last request                 | the connection ends      |
      | a last request with a body     | the connection ends      |
      | a last request with chunks     | the connection ends      |

  # Guards against a request that waits for the body timeout although its body is known
  # to be malformed.
  Scenario Outline: A malformed chunk is refused at once, in whichever read it arrives
    When a caller sends a malformed chunk <place> the head of a <kind> request
    Then the caller gets status 400 and no request was run

    Examples:
      | place | kind |
      | with  | kept |
      | after | kept |
      | with  | last |
      | after | last |

  # Guards against a 408 and a close while a request runs or its connection is idle: the
  # end of a body was taken for the beginning of the next request's head.
  Scenario: The end of a body does not start the header timeout
    When a body ends in another read than its head and more than the header timeout passes
    Then the request is answered and its connection takes another one

  # Guards against a server that works on for a caller that has left.
  Scenario: A streamed answer that waits for its turn is abandoned when its caller leaves
    When the answer of "/2" waits for that of "/1" and the caller closes its connection
    Then the rest of the answer of "/2" is abandoned

  # Guards against an upload that is run although its caller left while it waited.
  Scenario: A caller that resets a connection whose upload is not being read is noticed
    When a caller sends more of an upload than the node holds and resets its connection
    Then the request of the upload is cancelled

