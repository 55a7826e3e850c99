Feature: Requests and responses of the platform's protocols
  Guards against a wrong "not run", a response that is matched to another request and a
  client that sets a header reserved to the system.

  Scenario: A client cannot set reserved headers
    When a client sends a request with its own caller service and expected instance
    Then the request names the service "tariffs" as its caller and no instance
    And its host and attempt id are forwarded

  Scenario Outline: Invalid requests are refused
    When a client sends a request with <fault>
    Then the request is refused as invalid

    Examples:
      | fault               |
      | no attempt id       |
      | a timeout of text   |
      | a foreign target    |

  Scenario Outline: The status tells whether a request may have run
    Then a request that ended as <outcome> because of <reason> gets status <status>

    Examples:
      | outcome | reason          | status |
      | not-run | overload        | 503    |
      | not-run | deadline        | 503    |
      | not-run | no-route        | 404    |
      | not-run | no-table        | 503    |
      | not-run | body-too-large  | 413    |
      | unknown | deadline        | 504    |
      | unknown | connection-lost | 502    |
      | unknown | server-crashed  | 502    |

  Scenario: A refusal has a Retry-After header
    Then a request refused with a retry delay of 250 ms has the header "Retry-After" with "0.250"

  Scenario Outline: Classification of server responses
    Then a response with status <status> and headers "<headers>" is classified as <meaning>

    Examples:
      | status | headers                                  | meaning             |
      | 200    | Attempt-Id: a; Server-Signature: x       | an answer           |
      | 500    | Attempt-Id: a; Server-Signature: x       | an answer           |
      | 503    | Not-Executed: 1                          | refused             |
      | 421    | Instance-Id: i-2                         | refused             |
      | 200    | Attempt-Id: a                            | failed              |
      | 200    | Attempt-Id: a; Server-Signature: x; Content-Encoding: gzip | failed |
      | 200    | Attempt-Id: b; Server-Signature: x       | of another request  |
      | 200    | Server-Signature: x                      | of another request  |

  # Only the first exchange on a connection tells to which request such a response belongs.
  Scenario Outline: A response without an id on a connection in use again
    Then on a connection in use again a response with status <status> and headers "<headers>" is one of another request

    Examples:
      | status | headers                                  |
      | 503    | Not-Executed: 1                          |
      | 421    | Instance-Id: i-2                         |
      | 500    | Server-Signature: x                      |
      | 200    | Server-Signature: x                      |

  Scenario Outline: A sub-call is linked to the running request by its attempt id
    When a request with the attempt id "<id>" arrives while "root1" runs here
    Then it is a sub-call of "<parent>"

    Examples:
      | id       | parent |
      | root1.c7 | root1  |
      | root2.c7 | nobody |
      | root1    | nobody |
