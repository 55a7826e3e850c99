Feature: Replication core without faults of the disk
  Guards against promises before data is durable, a leader that goes on without a quorum,
  a returning replica that ends a healthy term, votes of replicas that were not admitted
  or have not caught up, and malformed messages.

  Scenario: Proposals made during a write share the next write
    Given a replicated log of 3 cores with a leader
    When the leading core gets 500 proposals while its disk is busy
    Then the leading core writes 1 and then 499 entries, and all are applied everywhere

  Scenario: Votes and entries are answered only after they are durable
    Given a replicated log of 3 cores with a leader
    Then a core answers entries and a vote request only after its disk has them

  Scenario: A leader without a quorum steps down and fails its reads
    Given a replicated log of 3 cores with a leader
    When the leading core is cut off and asked to read
    Then the leading core steps down within its election time-out and fails the read

  Scenario: A leader that was frozen for long steps down before it sends
    Given a replicated log of 3 cores with a leader
    Then the leading core sends nothing when it resumes after 60000 ms

  Scenario: A replica that returns after a long cut does not raise the term
    Given a replicated log of 3 cores with a leader
    When another core is cut off for 20000 ms and returns
    Then the replicated log keeps its leader and its term

  Scenario: A replica that hears all but the leader does not raise the term
    Given a replicated log of 3 cores with a leader
    When another core is cut off from the leading core alone for 20000 ms
    Then the replicated log keeps its leader and its term

  Scenario: A replica with an empty folder neither votes nor campaigns
    Given a replicated log of 3 cores with a leader
    When a core with an empty folder runs for 20000 ms
    Then the core with an empty folder has refused a vote and asked for none

  Scenario: A new replica gets its vote only after it has caught up
    Given a replicated log of 3 cores with a leader
    When a core with an empty folder is admitted but receives nothing
    Then the new core has no vote, commits go on, and no other change may start
    And the new core becomes a voter after it receives the log

  Scenario: Log time stays in order when the next leader's wall clock is behind
    Given a replicated log of 3 cores with a leader
    When the wall clock steps back by 3600000 ms and another core leads
    Then the log times of the replicated log never go down

  Scenario: Malformed and misdirected input is refused and changes nothing
    Given a replicated log of 3 cores with a leader
    Then the cores refuse a forged sender, a gap, a long proposal and a wrong leader
