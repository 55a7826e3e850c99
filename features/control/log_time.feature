Feature: Log time
  Guards against one wrong wall clock that expires the keys of all callers for good.

  Scenario: A clock that is years ahead moves the log time by half a key's lifetime
    Given a log time with watermark 1700000000000
    When the wall clock of the leader steps by 100000000000 ms
    Then the log time moves by 43200000 ms

  Scenario: The log time follows a right clock and never goes down
    Given a log time with watermark 1700000000000
    When 5000 ms pass for the leader
    Then the log time moves by 5000 ms
    When the wall clock of the leader steps by -60000 ms
    Then the log time moves by 5000 ms
