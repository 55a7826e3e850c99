Feature: Reading a recorded trace
  Guards against a bad line that is skipped, or reported without its place, so that a
  replay runs on other traffic than the one recorded.

  Scenario: Every bad line is named by its number
    Given a trace file with a good request on line 1
    And the trace file line 2 {"at_ms": -5, "caller": "c", "service": "s", "path": "/"}
    And the trace file line 3 {"at_ms": 5, "caller": "c", "service": "s", "path": "/"
    And the trace file line 4 {"at_ms": 5, "fault": "melt", "target": "s-1"}
    And the trace file line 5 {"at_ms": 5, "caller": "c", "service": "s", "path": "/", "x": 1}
    And the trace file line 6 {"at_ms": 5, "fault": "slow", "target": "s-1"}
    When the trace file is read
    Then the trace reader names exactly the lines 2, 3, 4, 5, 6

  Scenario: A trace without requests is refused
    Given an empty trace file
    When the trace file is read
    Then the trace reader reports "the trace holds no request"

  Scenario: A trace survives being written and read
    Given a trace file with a good request on line 1
    And the trace file line 2 {"at_ms": 3, "fault": "slow", "target": "s-1", "factor": 4, "duration_ms": 10}
    When the trace file is read
    Then the trace written and read again is equal
