Feature: Log time
  Guards against a single wrong wall clock that permanently expires the request keys of
  all callers.

  Scenario: A wall clock that is years ahead moves the log time by half a key's lifetime
    Given a log time with watermark 1700000000000
    When the wall clock of the leader steps by 100000000000 ms
    Then the log time is 43200000 ms after the watermark

  Scenario: The log time follows a correct clock and never goes down
    Guards against a log time that goes down with the wall clock.
    Given a log time with watermark 1700000000000
    When 5000 ms pass for the leader
    Then the log time is 5000 ms after the watermark
    When the wall clock of the leader steps by -60000 ms
    Then the log time is 5000 ms after the watermark
