Feature: Replication core without disk faults
  Guards against acknowledgements of data that is not durable, a leader that continues
  without a quorum, a rejoining replica that deposes a healthy leader, votes of replicas
  that were not admitted or have not caught up, and malformed messages.

  Scenario: Proposals made during a write share the next write
    Given a replicated log of 3 cores with a leader
    When the leader receives 500 proposals while its disk is busy
    Then the leader writes 1 and then 499 entries, and all are applied everywhere

  Scenario: Votes and entries are answered only after they are durable
    Given a replicated log of 3 cores with a leader
    Then a follower answers entries and a vote request only after they are durable

  Scenario: A leader without a quorum steps down and fails its reads
    Given a replicated log of 3 cores with a leader
    When the leader is partitioned and a read is requested
    Then the leader steps down within its election time-out and fails the read

  Scenario: A leader that was paused for a long time steps down before it sends
    Given a replicated log of 3 cores with a leader
    Then the leader sends nothing when it resumes after 60000 ms

  Scenario: A replica that rejoins after a long partition does not raise the term
    Given a replicated log of 3 cores with a leader
    When a follower is partitioned for 20000 ms and reconnects
    Then the replicated log keeps its leader and its term

  Scenario: A replica that is partitioned from the leader alone does not raise the term
    Given a replicated log of 3 cores with a leader
    When a follower is partitioned from the leader alone for 20000 ms
    Then the replicated log keeps its leader and its term

  Scenario: After a restart of all replicas one leads within the shortest election time-out
    Given a replicated log of 5 cores with a leader
    When all cores restart from what they have stored
    Then one of them leads after 500 ms

  Scenario: A restarted replica applies what it knew to be committed before it finds a leader
    Given a replicated log of 3 cores with a leader
    When a proposal is committed and 500 ms pass
    And all cores restart from what they have stored, each partitioned
    Then each core has applied the proposal and there is no leader

  Scenario: A restarted replica that does not reach the leader does not raise the term
    Given a replicated log of 5 cores with a leader
    When a follower restarts, partitioned from the leader alone for 20000 ms
    Then the replicated log keeps its leader and its term

  Scenario: A replica with an empty folder neither votes nor campaigns
    Given a replicated log of 3 cores with a leader
    When a core with an empty folder runs for 20000 ms
    Then the core with an empty folder has refused a vote and requested none

  Scenario: A new replica becomes a voter only after it has caught up
    Given a replicated log of 3 cores with a leader
    When a core with an empty folder is admitted but receives nothing
    Then the new core has no vote, commits continue, and no other change can start
    And the new core becomes a voter after it receives the log

  Scenario: Log time does not decrease when the next leader's wall clock is behind
    Given a replicated log of 3 cores with a leader
    When the wall clock steps back by 3600000 ms and another core becomes leader
    Then the log times of the replicated log never decrease

  Scenario: Malformed and misdirected input is refused without effect
    Given a replicated log of 3 cores with a leader
    Then the cores refuse a forged sender, a gap, a long proposal and a wrong leader

  Scenario: A replica beyond the intended number of voters follows without a vote
    Given a replicated log of 5 cores with a leader
    When a further core is admitted and receives the log
    Then the further core stays a learner and applies what is committed
    And it gets about one heartbeat a second and still names the leader

  Scenario: A learner takes the place of a voter that no longer answers
    Given a replicated log of 5 cores with a leader
    And a further core that follows as a learner
    When a follower is unreachable for 3000 ms
    Then the further core is still a learner
    When the follower stays unreachable for 2000 ms more
    Then the further core is a voter

  Scenario: A learner that does not hold the log takes no voter's place
    Given a replicated log of 5 cores with a leader
    When a core with an empty folder is admitted but receives nothing
    And a follower is unreachable for 6000 ms
    Then the new core has no vote, commits continue, and no other change can start
