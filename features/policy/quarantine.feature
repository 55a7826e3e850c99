Feature: Quarantine of requests that crash backend servers
  Guards against a crash that is counted twice, against a suspected request that was not
  in flight at the crash, against a fingerprint that stays quarantined forever, and
  against a lost crash report.

  Scenario: Fingerprints distinguish requests and do not depend on how the body is split
    Given the fingerprint of a POST request with a body of 100000 bytes
    Then it is equal when the body arrives in random parts, with 50 seeds
    And it is equal when only a byte after the first 65536 differs
    And it differs when service, method, path, length or an early byte differs
    And it differs when a boundary between two fields moves

  Scenario Outline: A crash is counted once, however often it is detected and reported
    Given a backend server with 6 calls in flight, 2 of them with equal fingerprints
    When it crashes <crashes> times, detected on every connection and resent, seed <seed>
    Then every fingerprint in flight is counted <crashes> times by distinct report ids
    And every call in flight is returned as a suspect that must not be retried

    Examples:
      | crashes | seed |
      | 1       | 1    |
      | 3       | 2    |

  Scenario: The node's restart does not change the report id of a crash
    Given a backend server with 6 calls in flight, 2 of them with equal fingerprints
    When it crashes, and its node restarts and detects the same crash again
    Then both trackers returned the same report ids

  Scenario: A crash detected late makes no calls of the next incarnation suspect
    Given a backend server with 6 calls in flight, 2 of them with equal fingerprints
    When it crashes and restarts, a new call starts and the old crash is detected again
    Then no new crash suspect is returned

  Scenario Outline: A quarantined fingerprint is refused until it expires
    Given a "<variant>" quarantine list for 50 entries
    When a fingerprint is quarantined for 600000 ms and again for 1000 ms
    Then it is <early> after 599 s and let through after 601 s

    Examples:
      | variant | early       |
      | refuse  | refused     |
      | off     | let through |

  Scenario: The quarantine list is bounded and keeps the longest remaining entries
    Given a "refuse" quarantine list for 50 entries
    When 500 fingerprints are quarantined for 1 s to 500 s
    Then the quarantine list holds the 50 entries with the most remaining time
    And quarantine times of -1, infinity and NaN are rejected as invalid

  Scenario: A lost crash report is sent again, until the quarantine arrives
    When a crash is reported while the replicas do not answer for 600 ms
    Then the report was sent twice before the quarantine and not after it
