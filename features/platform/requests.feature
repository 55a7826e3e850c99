Feature: Requests and answers in the platform's form
  Guards against a wrong "not run", an answer that is taken for that of another request
  and a header that a client sets in the system's name.

  Scenario: A client cannot set the headers of the system
    When a client sends a request with its own caller service and expected instance
    Then the request names the service "tariffs" as its caller and no instance
    And its host and attempt id are passed on

  Scenario Outline: Requests that are not valid
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

  Scenario: A refusal tells when to come back
    Then a request refused for 250 ms has the header "Retry-After" with "0.250"

  Scenario Outline: What an answer of a server means
    Then an answer with status <status> and headers "<headers>" counts as <meaning>

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

  Scenario Outline: A call of the backend server is known by the id of the running request
    When a request with the attempt id "<id>" arrives while "root1" runs here
    Then it counts as a call of "<parent>"

    Examples:
      | id       | parent |
      | root1.c7 | root1  |
      | root2.c7 | nobody |
      | root1    | nobody |
