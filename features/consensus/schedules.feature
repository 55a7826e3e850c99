Feature: Random fault schedules on the replicated log
  Guards against a second leader in a term, a committed entry that is lost, logs and
  states that diverge, an acknowledged proposal that is missing or duplicated, a read
  that misses an acknowledged proposal, log time that decreases, and a deployment that
  makes no progress after all faults are healed. MARJORAMSTEP_SCHEDULES sets the number
  of schedules, MARJORAMSTEP_FIRST_SEED the first seed.

  Scenario: Replicas agree under random fault schedules
    When 250 replication schedules run
    Then no replication schedule violates a property
    And the replication schedules exercised every counted event unless the run is short

  Scenario: The checker detects a vote that is not synced
    When replication schedules run with the bug "unsynced_vote" until one reports "two leaders, committed"
    Then a replication schedule has detected the bug

  Scenario: The checker detects a wiped replica that keeps its identity
    When replication schedules run with the bug "reuse_identity" until one reports "two leaders, committed"
    Then a replication schedule has detected the bug

  Scenario: The checker detects an entry of an earlier term that is committed by count
    When replication schedules run with the bug "commit_earlier_terms" until one reports "committed"
    Then a replication schedule has detected the bug

  Scenario: The checker detects a read that no quorum confirmed
    When replication schedules run with the bug "unconfirmed_reads" until one reports "misses"
    Then a replication schedule has detected the bug
