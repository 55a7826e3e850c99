Feature: The verdict on a replay
  Guards against a verdict that passes although a stated outcome was not met, or
  although there was nothing to judge.

  Scenario Outline: An outcome that is not met fails the verdict
    Given an observed run with 9 good requests and 1 <odd> request
    Then the stated outcome <check> is <result>

    Examples:
      | odd                     | check                                               | result  |
      | good                    | {"kind": "goodput-share", "minimum": 0.95}          | met     |
      | shed                    | {"kind": "goodput-share", "minimum": 0.95}          | not met |
      | late                    | {"kind": "goodput-share", "minimum": 0.95}          | not met |
      | good                    | {"kind": "unknown-share", "maximum": 0}             | met     |
      | unknown                 | {"kind": "unknown-share", "maximum": 0}             | not met |
      | good                    | {"kind": "at-most-one-run"}                         | met     |
      | twice run               | {"kind": "at-most-one-run"}                         | not met |
      | further twice           | {"kind": "at-most-one-run"}                         | not met |
      | shed                    | {"kind": "not-run-never-ran"}                       | met     |
      | shed but run            | {"kind": "not-run-never-ran"}                       | not met |
      | good                    | {"kind": "retries-bounded"}                         | met     |
      | thrice run further down | {"kind": "retries-bounded"}                         | not met |
      | good                    | {"kind": "weight-order"}                            | met     |
      | shed                    | {"kind": "weight-order"}                            | not met |
      | good                    | {"kind": "all-complete"}                            | met     |
      | shed                    | {"kind": "all-complete"}                            | not met |
      | good                    | {"kind": "own-answers"}                             | met     |
      | mixed-up                | {"kind": "own-answers"}                             | not met |
      | good                    | {"kind": "recovery", "maximum_ms": 1000}            | met     |
      | shed                    | {"kind": "recovery", "maximum_ms": 1000}            | not met |
      | good                    | {"kind": "p99-relative", "maximum_ratio": 1.0}      | met     |
      | slow                    | {"kind": "p99-relative", "maximum_ratio": 1.0}      | not met |
      | shed                    | {"kind": "p99-relative", "maximum_ratio": 1.0}      | not met |

  Scenario Outline: Nothing to judge never passes
    Given an observed run with 9 good requests and 1 good request
    Then the stated outcome {"kind": "<kind>", <bounds>"groups": ["absent"]} is not met

    Examples:
      | kind            | bounds              |
      | goodput-share   | "minimum": 0,       |
      | unknown-share   | "maximum": 1,       |
      | at-most-one-run |                     |
      | all-complete    |                     |
      | own-answers     |                     |
      | recovery        | "maximum_ms": 1000, |

  Scenario: An unknown kind or bound of a stated outcome is refused
    Then the stated outcome {"kind": "goodput-share", "minimum": 0.5, "max": 1} is refused
    And the stated outcome {"kind": "goodput"} is refused

  Scenario Outline: A baseline that refuses requests does not seem fast
    Given an observed run with 9 good requests and 1 slow request
    And its baseline refused <number> of the requests
    Then the stated outcome {"kind": "p99-relative", "maximum_ratio": 1.0} is <verdict>

    Examples:
      | number | verdict |
      | 0      | not met |
      | 1      | met     |
      | 10     | met     |
