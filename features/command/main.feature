Feature: The operator's command
  Guards against an edit that is applied twice or reported wrongly after a lost answer, a
  command that gives up while one replica answers, and errors that only a developer reads.

  Scenario: The table is shown, edited and compared
    Given 3 stand-in replicas with leader 1
    When the operator runs "table add read service=tariffs weight=5"
    Then the command exits with 0 and prints "accepted: version 2"
    When the operator runs "table set read weight=7 retries=1"
    Then the command exits with 0 and prints "accepted: version 3"
    When the operator runs "table get read weight"
    Then the command exits with 0 and prints "7"
    When the operator runs "table show"
    Then the command exits with 0 and prints an aligned table with the columns NAME SERVICE WEIGHT
    When the operator runs "table show --version 2 --json"
    Then the command exits with 0 and prints JSON with version=2
    When the operator runs "table diff 2"
    Then the command exits with 0 and prints "read  weight   5       7"
    When the operator runs "table drop read"
    Then the command exits with 0 and prints "accepted: version 4"
    When the operator runs "table get read"
    Then the command exits with 7 and one error line naming "no row 'read'"
    When the operator runs "table show --version 99"
    Then the command exits with 7 and one error line naming "no such version"

  Scenario: A refused edit names every faulty cell
    Given 3 stand-in replicas with leader 0
    When the operator runs "table set default weight=0 colour=red"
    Then the command exits with 3 and one error line naming "default.colour: no such column"
    And the command's error line names "default.weight: expected a whole number"

  Scenario: Of two edits with equal version the second is told who won
    Given 3 stand-in replicas with leader 0
    When the operator runs "table set default weight=20 --base-version 1"
    And the operator runs "table set default weight=30 --base-version 1"
    Then the command exits with 4 and one error line naming "version 2 was made by ana"

  Scenario: An edit whose answer is lost is sent again under its key and applied once
    Given 3 stand-in replicas with leader 0
    And stand-in 0 loses its next 1 answers after applying the request
    When the operator runs "table set default weight=20 --json"
    Then the command exits with 0 and prints JSON with version=2
    And the stand-ins lost 1 answers and received 2 edits with 1 key
    When the operator runs "edit show" with the key of the last edit
    Then the command exits with 0 and prints "accepted: version 2"

  Scenario: An edit whose answers all are lost is unknown and can be queried
    Given 1 stand-in replicas with leader 0
    And stand-in 0 loses its next 9 answers after applying the request
    When the operator runs "table set default weight=20 --edit-key k1 --base-version 1"
    Then the command exits with 5 and one error line naming "marjoramstep edit show k1"
    When stand-in 0 answers again
    And the operator runs "edit show k1"
    Then the command exits with 0 and prints "accepted: version 2"
    When the operator runs "edit show k2"
    Then the command exits with 7 and one error line naming "no verdict of edit key k2"

  Scenario: An edit that every replica answers with 503 is unknown
    Given 1 stand-in replicas with leader 0
    And stand-in 0 has no quorum
    When the operator runs "table set default weight=20 --edit-key k1 --base-version 1"
    Then the command exits with 5 and one error line naming "status 503"

  Scenario: A change of replicas is not sent again after a lost answer
    Given 3 stand-in replicas with leader 0
    And stand-in 0 loses its next 1 answers after applying the request
    When the operator runs "replicas remove r3"
    Then the command exits with 5 and one error line naming "marjoramstep replicas list"
    And the stand-ins received 1 changes of replicas

  Scenario: Other replicas are tried when one does not answer
    Given 3 stand-in replicas with leader 2
    And stand-in 0 is stopped
    And stand-in 1 is silent
    When the operator runs "table set default weight=20 --timeout-ms 300"
    Then the command exits with 0 and prints "accepted: version 2"
    And stand-in 1 received a request

  Scenario: When no replica can be reached nothing was changed
    Given 1 stand-in replicas with leader 0
    And stand-in 0 is stopped
    When the operator runs "table set default weight=20 --base-version 1"
    Then the command exits with 6 and one error line naming "no replica can answer"

  Scenario: Followers without a known leader end in an error
    Given 2 stand-in replicas without a leader
    When the operator runs "table set default weight=20 --base-version 1"
    Then the command exits with 6 and one error line naming "not the leader"

  Scenario: The audit trail is listed, followed and verified
    Given 3 stand-in replicas with leader 0
    And 1200 edits in the stand-ins' audit trail
    When the operator runs "audit verify --json"
    Then the command exits with 0 and prints JSON with entries=1200
    When the operator runs "audit list --after 1197 --verdict accepted"
    Then the command exits with 0 and prints an aligned table with the columns SEQUENCE TIME OPERATOR
    And the command prints 4 lines
    When the operator runs "audit follow --after 1195 --count 5 --interval-ms 10"
    Then the command exits with 0 and prints "1200"
    And the command prints 5 lines
    When entry 700 of the stand-ins' audit trail is changed
    And the operator runs "audit verify"
    Then the command exits with 8 and one error line naming "audit entry 700"
    When the operator runs "audit follow --after 698 --interval-ms 10"
    Then the command exits with 8 and one error line naming "audit entry 700"

  Scenario: Replicas are listed, admitted and waited for
    Given 3 stand-in replicas with leader 0
    When the operator runs "replicas list"
    Then the command exits with 0 and prints "survives losses: 1"
    When the operator runs "replicas remove r3"
    Then the command exits with 0 and prints "remove r3: accepted"
    And the command's error line names "the loss of one more replica stops edits"
    When the operator runs "replicas wait --wait-ms 50"
    Then the command exits with 10 and one error line naming "survives losses: 0, expected 1"
    When the operator runs "replicas admit r3"
    Then the command exits with 0 and prints "admit r3: accepted"
    When the operator runs "replicas wait --wait-ms 50"
    Then the command exits with 0 and prints "all replicas are synced"
    When the operator runs "replicas remove r9"
    Then the command exits with 3 and one error line naming "no replica r9"

  Scenario Outline: What the replicas report is shown as a table and as JSON
    Given 3 stand-in replicas with leader 0
    When the operator runs "<command>"
    Then the command exits with 0 and prints "<text>"
    When the operator runs "<command> --json"
    Then the command exits with 0 and prints one line of JSON

    Examples:
      | command       | text              |
      | members       | pay           s1  |
      | quarantine    | pay           f1  |
      | status        | replica_id        |
      | table columns | stored_answer     |
      | replicas list | MATCH_INDEX       |
      | token new     | token_sha256      |

  Scenario: The printed hash is the one of the printed token
    When the operator runs "token new --json"
    Then the command exits with 0 and prints a token with its hash

  Scenario: A wrong token is denied and not shown
    Given 3 stand-in replicas with leader 0
    And the operator's token file holds "wrong-token"
    When the operator runs "table show"
    Then the command exits with 9 and one error line naming "the token is not accepted"
    And the command's error line does not name "wrong-token"

  Scenario Outline: Faulty arguments and settings end in one error line
    Given 1 stand-in replicas with leader 0
    When the operator runs "<command>"
    Then the command exits with 2 and one error line naming "<problem>"

    Examples:
      | command                                  | problem                       |
      | table                                    | too few arguments             |
      | table shew                               | invalid choice                |
      | table set default weight                 | expected column=value         |
      | table set default weight=1 weight=2      | given twice                   |
      | table set default weight=1 --edit-key k  | --edit-key needs              |
      | table show --control nowhere             | expected the form ip:port     |
      | table show --control 127.0.0.1:99999     | expected the form ip:port     |
      | table show --token-file /missing/token   | No such file                  |
      | table show --timeout-ms 0                | --timeout-ms                  |
      | edit show a/b                            | not an edit key               |
      | replicas admit a/b                       | not a replica id              |

  Scenario: An interrupted edit tells how to query its outcome
    Given 1 stand-in replicas with leader 0
    And stand-in 0 is silent
    When the operator interrupts "table set default weight=20 --edit-key k1 --base-version 1 --timeout-ms 60000"
    Then the command exits with 5 and one error line naming "marjoramstep edit show k1"

  Scenario: Every command has a description in the help text
    Then each command of the registry describes itself and takes --json

  Scenario: A package adds a command by an entry point
    Given a package whose entry point adds the command "echo-text"
    When the operator runs "echo-text hello"
    Then the command exits with 3 and prints "hello"

  Scenario: A broken entry point of another package ends in one error line
    Given a package whose entry point adds the command "echo-text"
    And the added command's module is missing
    When the operator runs "table columns"
    Then the command exits with 1 and one error line naming "added_command"
