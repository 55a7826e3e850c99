Feature: The replicated state machine
  Guards against replicas whose states diverge, a damaged payload or snapshot that stops
  a replica, and a log time that decreases.

  Scenario Outline: A payload that cannot be decoded is refused before it is proposed
    Given a fresh replicated state machine
    Then the state payload <payload> cannot be decoded, naming "<problem>"
    And applying the state payload <payload> is counted and changes nothing else

    Examples:
      | payload                                                    | problem       |
      | nonsense                                                   | not JSON      |
      | []                                                         | JSON object   |
      | {"kind":"explode"}                                         | unknown kind  |
      | {"kind":"advance-time","log_time_ms":-1}                   | log_time_ms   |
      | {"kind":"advance-time","log_time_ms":true}                 | log_time_ms   |
      | {"kind":"advance-time","log_time_ms":100000000000001}      | log_time_ms   |
      | {"kind":"look-up-claim","log_time_ms":1,"request_key":"k"} | close         |
      | {"kind":"edit-table","log_time_ms":1,"edit_key":"a b"}     | edit_key      |

  Scenario: A cell with a nested value is refused before it is proposed
    Given a fresh replicated state machine
    Then an edit with a nested cell value cannot be encoded

  Scenario: An end of a claim without its answer is refused before it is proposed
    Given a fresh replicated state machine
    Then an end done without an answer cannot be encoded

  Scenario: The watermark never decreases
    Given a fresh replicated state machine
    When the log time is applied as 5000 and then as 2000
    Then the state watermark is 5000

  Scenario: An entry is applied once
    Given a fresh replicated state machine
    When the log time is applied as 5000 and then as 2000
    Then applying an entry at a lower index fails

  Scenario Outline: Restoring a snapshot and replaying the rest gives identical bytes
    Given a fresh replicated state machine
    When 1500 random state commands are applied with seed <seed>
    Then a replica restored from any of 6 snapshots and replayed has the same bytes
    And the random state commands produced every kind of record

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |

  Scenario: A snapshot encoded in steps holds the state at its beginning
    Guards against a snapshot that mixes the state before and after later commands.
    Given a fresh replicated state machine
    When 800 random state commands are applied with seed 31
    And a snapshot is encoded in steps while 400 more are applied with seed 32
    Then the snapshot encoded in steps equals the one taken at its beginning
    And the state has changed since then

  Scenario: A damaged snapshot is refused and leaves the state unchanged
    Given a fresh replicated state machine
    When 200 random state commands are applied with seed 21
    Then each of 40 damaged snapshots is refused without a change, seed 22

  Scenario: Randomly damaged payloads never stop a replica or corrupt its snapshot
    Given a fresh replicated state machine
    When 5000 randomly damaged payloads are applied with seed 41
    Then the replica restored from its snapshot has the same bytes
