Feature: Entry service of a node
  Guards against a resend that is reported as "not run" although an earlier attempt
  ran, random service names that exhaust the subscriptions of real services, uploads
  that are lost or corrupted when a refused call is sent to another node, sub-calls with
  the wrong deadline or after the end of their parent, and a missing row that is
  reported by a node whose table is not confirmed.

  Scenario: Random service names do not exhaust the service limit
    When 3000 random service names are called and then a real service
    Then the call of the real service waited for its members and found them
    And the services with members are still watched

  Scenario: A service without members delays calls during its first second only
    When a service without members is called again after its first second
    Then that call does not wait for members

  Scenario: A resend of a request that may have run is not reported as not run
    When attempts with the same key end as not run, unknown and not run
    Then the key may have run for the third attempt and not for the second

  Scenario: A resend while the first attempt runs is not reported as not run
    When a second attempt with the same key begins while the first runs
    Then the key may have run for the second attempt

  # Guards against a node that stops watching its backend server: the check for overdue
  # requests failed on one whose body had not arrived before the first table.
  Scenario Outline: A node without a table finds no row of a request that names <what>
    When a node without a table looks for the row of a request that names <what>
    Then it finds none

    Examples:
      | what      |
      | a host    |
      | a service |

  Scenario: A refused upload can be restarted
    When an upload is read for 256 KiB, cancelled in the middle of a wait and restarted
    Then the second reader gets the complete upload
    And the first reader of the upload gets an error

  Scenario: A consumed upload cannot be restarted
    When an upload of 1 MiB is read to its end
    Then the upload was read completely and cannot be restarted

  Scenario: An upload of undeclared length above the limit fails
    When an upload of 1 MiB with a limit of 512 KiB is read to its end
    Then the reader of the upload gets at most 512 KiB and an error

  Scenario: A sub-call after the end of its parent is refused
    When a sub-call arrives while its parent runs and another after its end
    Then the first is dispatched with the parent's weight and deadline
    And the second is refused because its parent has ended and did not run

  Scenario: A sub-call may use the remaining time of its root request
    When a request with 20 s left makes a sub-call to a row with a deadline of 5 s
    Then the sub-call has the deadline of the request

  Scenario: A backend server may set a shorter timeout for a sub-call
    When a request with 20 s left makes a sub-call with a timeout of 100 ms
    Then the deadline of the sub-call is 100 ms after its start

  Scenario Outline: Only a node with a confirmed table reports a missing row
    Given an entry service whose table <table> and was <confirmed>
    When a request for an unknown host arrives
    Then it ends as not run because of "<reason>"

    Examples:
      | table                    | confirmed              | reason   |
      | has a row with a host    | confirmed now          | no-route |
      | has a row with a host    | never confirmed        | no-table |
      | has no row with a host   | confirmed now          | no-table |

  # Clients that retry only once must not do so while the node is still starting.
  Scenario: The result without a confirmed table has a time to retry
    Given an entry service whose table has a row with a host and was never confirmed
    When a request for an unknown host arrives
    Then its result has a time to retry of 700 to 1400 ms
