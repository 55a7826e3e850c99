Feature: HTTP connections of callers
  Guards against answers in the wrong order, requests that are made up of another one's
  body, and work that goes on after its caller has left.

  Background:
    Given a caller listener whose requests end when the test says so

  Scenario: Pipelined requests run side by side and are answered in order
    When a caller sends requests "/1" and "/2" at once and "/2" ends first
    Then both requests were running before the first answer
    And the caller gets the answers of "/1" and "/2" in this order

  Scenario: A caller that closes its connection cancels all of its requests
    When a caller sends requests "/1" and "/2" at once and closes the connection
    Then both requests are cancelled

  Scenario: A second request hidden behind two lengths is not run
    When a caller sends a request with two lengths and another request in its body
    Then the caller gets status 400 and nothing was run

  Scenario: An answer that comes before the end of a long body ends the connection
    When a request with a long body is answered before the body is complete
    Then the answer says that the connection closes

  Scenario: A listener that leaves says so with the next answer and serves on
    When the listener announces that it leaves while "/1" runs
    Then the answer of "/1" says that the connection closes
