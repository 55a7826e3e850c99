Feature: The step at which a request waits
  Guards against a request that hangs while no log line and no metric tells where.

  Scenario Outline: A body that is overdue is told once, with what has arrived of it
    When <sent> bytes of a body <framing> have arrived and the time of its row passes
    Then one line tells that "/body" waits at "read_body", with <received> of <expected> bytes
    And the gauge of requests at "read_body" was 1, and 0 after the caller had left

    Examples:
      | sent | framing     | received | expected |
      | 0    | of 50 bytes | 0        | 50       |
      | 25   | of 50 bytes | 25       | 50       |
      | 25   | in chunks   | 25       | -1       |

  Scenario: A request that is answered in time is not told
    When a whole request is answered and the time of its row passes
    Then no line tells of an overdue request

  Scenario Outline: A request that hangs at a later step is told with that step
    When a request hangs while it waits for <what>
    Then one line tells that "/body" waits at "<step>"

    Examples:
      | what                        | step        |
      | its execution               | find_server |
      | an earlier answer           | wait_turn   |
      | its caller to read it       | send_answer |

  Scenario: A call to another node is told at both nodes
    When a call waits at the backend server of another node
    Then the calling node counts it at "call_node" and the other one at "queue"
