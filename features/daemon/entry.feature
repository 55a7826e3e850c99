Feature: The entry of a node
  Guards against a resend that is reported as "not run" although an earlier attempt
  ran, random service names that lock out real services, and uploads that are lost or
  mixed when a refused call is sent to another node.

  Scenario: Random service names do not exhaust the service limit
    When 3000 random service names are called and then a real service
    Then the real service's members were waited for and found
    And the services with members are still watched

  Scenario: A service without members delays no more than the first second
    When a service without members is called again after its first second
    Then that call does not wait for members

  Scenario: A resend of a request that may have run is not reported as not run
    When attempts under one key end as not run, unknown and not run
    Then the third attempt knows that the key may have run and the second does not

  Scenario: A resend while the first attempt runs is not reported as not run
    When a second attempt under one key begins while the first runs
    Then the second attempt knows that the key may have run

  Scenario: A refused upload can be read again from its start
    When an upload is read for 256 KiB, cancelled in the middle of a wait and restarted
    Then the second reader gets the whole upload unmixed
    And the first reader of the upload gets an error

  Scenario: A consumed upload cannot be restarted
    When an upload of 1 MiB is read to its end
    Then the upload can't be restarted and was read unmixed

  Scenario: An upload of undeclared length over the limit breaks off
    When an upload of 1 MiB with a limit of 512 KiB is read to its end
    Then the reader of the upload gets at most 512 KiB and an error

  Scenario: A sub-call after the end of its parent
    When a sub-call arrives while its parent runs and another after its end
    Then the first is dispatched with the parent's weight and deadline
    And the second is refused because its parent has ended and did not run

  Scenario: A sub-call may use the time that its whole request has left
    When a request with 20 s left makes a sub-call to a row with a deadline of 5 s
    Then the sub-call may take as long as the request

  Scenario: A backend server may allow a sub-call less time
    When a request with 20 s left makes a sub-call that allows 100 ms
    Then the sub-call ends 100 ms after it began

  Scenario Outline: Only a node with a confirmed table says that there is no row
    Given an entry whose table <table> and was <confirmed>
    When a request for an unknown host arrives
    Then it ends as not run because of "<reason>"

    Examples:
      | table                    | confirmed              | reason   |
      | has a row with a host    | confirmed now          | no-route |
      | has a row with a host    | never confirmed        | no-table |
      | has no row with a host   | confirmed now          | no-table |

  # A client may return once. Too early, it is refused again while the node still starts.
  Scenario: A node without a table sends callers away for the time of its start
    Given an entry whose table has a row with a host and was never confirmed
    When a request for an unknown host arrives
    Then its sender is told to come back in 700 to 1400 ms
