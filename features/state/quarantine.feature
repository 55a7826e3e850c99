Feature: Crash reports and quarantine
  Guards against one request that crashes one backend server after another, and against
  a resent report that counts as a second crash, and memory that grows with each
  reported fingerprint.

  Background:
    Given a fresh replicated state machine

  Scenario: Two different crash reports quarantine a fingerprint for 10 minutes
    When crash report "r1" of fingerprint "f" in service "pay" is applied
    Then no fingerprint is quarantined in the replicated state
    When crash report "r2" of fingerprint "f" in service "pay" is applied
    Then fingerprint "f" is quarantined in service "pay" for 600000 ms
    When 599999 ms of log time pass
    Then fingerprint "f" is quarantined in service "pay" for 1 ms
    When 1 ms of log time pass
    Then no fingerprint is quarantined in the replicated state

  Scenario: A resent report counts once
    When crash report "r1" of fingerprint "f" in service "pay" is applied
    And crash report "r1" of fingerprint "f" in service "pay" is applied
    Then no fingerprint is quarantined in the replicated state

  Scenario: A resent report does not extend a quarantine
    When crash report "r1" of fingerprint "f" in service "pay" is applied
    And crash report "r2" of fingerprint "f" in service "pay" is applied
    And 300000 ms of log time pass
    And crash report "r2" of fingerprint "f" in service "pay" is applied
    Then fingerprint "f" is quarantined in service "pay" for 300000 ms

  Scenario: Reports of different services or fingerprints are counted separately
    When crash report "r1" of fingerprint "f" in service "pay" is applied
    And crash report "r2" of fingerprint "g" in service "pay" is applied
    And crash report "r3" of fingerprint "f" in service "audit" is applied
    Then no fingerprint is quarantined in the replicated state

  Scenario: Reports more than 10 minutes apart are not counted together
    When crash report "r1" of fingerprint "f" in service "pay" is applied
    And 600001 ms of log time pass
    And crash report "r2" of fingerprint "f" in service "pay" is applied
    Then no fingerprint is quarantined in the replicated state

  Scenario: A quarantine survives a restart and the number of suspects is limited
    When crash report "r1" of fingerprint "f" in service "pay" is applied
    And crash report "r2" of fingerprint "f" in service "pay" is applied
    And the replica is restored from its snapshot
    Then fingerprint "f" is quarantined in service "pay" for 600000 ms
    When 10001 other fingerprints have a crash report
    Then the snapshot holds 10000 suspects
