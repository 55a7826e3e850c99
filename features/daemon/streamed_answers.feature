Feature: The end of streamed answers
  Guards against a caller that waits for the rest of an answer after its deadline, because
  a connection has fallen silent, and against a slow caller that is cut off.

  Scenario: An answer whose rest does not arrive ends at the deadline of its call
    Given a service whose answers fall silent after their first part
    When a call with a deadline of 300 ms is sent and its answer is read
    Then the answer breaks off, not before its deadline

  # Guards against an answer without end that holds a slot, two nodes and its caller until
  # the caller leaves.
  Scenario Outline: An answer that never ends is left soon after the deadline of its call
    Given a service whose answers never end and arrive <how>
    When a call with a deadline of 300 ms is sent and its answer is read
    Then the answer breaks off, not before its deadline

    Examples:
      | how                          |
      | as fast as they are read     |
      | a byte at a time             |

  Scenario: What has arrived is passed on after the deadline
    Given a service whose answers have arrived in full
    When a call with a deadline of 300 ms is sent and its answer is read slowly
    Then the answer is read in full

  Scenario: A backend server that falls silent midway is left at the deadline
    Given a factory-built node with these decisions disabled: none
    When its backend server falls silent midway through a long answer
    Then the answer breaks off, not before its deadline
    And the connection to the backend server is closed and no slot is in use

  Scenario: A backend server whose answer never ends is left soon after the deadline
    Given a factory-built node with these decisions disabled: none
    When its backend server sends a long answer without end
    Then the answer breaks off, not before its deadline
    And the connection to the backend server is closed and no slot is in use
