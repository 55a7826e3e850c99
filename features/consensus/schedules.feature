Feature: Schedules of faults over the replicated log
  Guards against a second leader in a term, a committed entry that is lost, logs and
  states that differ, an acknowledged proposal that is missing or doubled, a read that
  misses an acknowledged proposal, log time that goes down, and a deployment that makes
  no progress after everything is healed. MARJORAMSTEP_SCHEDULES sets the number of
  schedules, MARJORAMSTEP_FIRST_SEED the first seed.

  Scenario: Replicated logs agree under random schedules of faults
    When 250 replication schedules run
    Then no replication schedule breaks a property
    And the replication schedules contained every kind of fault

  Scenario: The schedule checker finds a vote that is not synced
    When replication schedules run with the fault "unsynced_vote" until one breaks
    Then the broken replication schedule reports one of "two leaders, committed"

  Scenario: The schedule checker finds a wiped replica that keeps its identity
    When replication schedules run with the fault "reuse_identity" until one breaks
    Then the broken replication schedule reports one of "two leaders, committed"

  Scenario: The schedule checker finds a commit of an earlier term by count
    When replication schedules run with the fault "commit_earlier_terms" until one breaks
    Then the broken replication schedule reports one of "committed"

  Scenario: The schedule checker finds a read that no quorum confirmed
    When replication schedules run with the fault "unconfirmed_reads" until one breaks
    Then the broken replication schedule reports one of "misses"
