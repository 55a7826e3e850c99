Feature: Calls that a server has no time for
  Guards against a call that fails although other servers have free slots, because the
  queue of the first server asked is too long for its deadline. Pattern: long calls fill
  the few slots of one server of a service that all chains call, while the service as a
  whole is not at its limit.

  Scenario: A call moves on when one server has no time for it
    Given a service with 6 members of which 1 refuses calls for their deadline
    When 200 calls are sent to the service
    Then all calls are answered, each after at most 2 servers

  Scenario: A call does not try every server when all are overloaded
    Given a service with 6 members of which 6 refuse calls for their deadline
    When 20 calls are sent to the service
    Then all calls are refused for their deadline, each after 3 servers

  Scenario: Only the first server asked may refuse a call instead of queueing it
    Given a service with 6 members of which 6 refuse calls for their deadline
    When 20 calls are sent to the service
    Then only the first server of each call was told that the call may move on

  Scenario: A call to the only server may not move on
    Given a service with 1 members of which 0 refuse calls for their deadline
    When 20 calls are sent to the service
    Then no server was told that a call may move on

  Scenario: A call whose body is still arriving may not move on
    Given a service with 6 members of which 0 refuse calls for their deadline
    When a call with a streamed body is sent to the service
    Then no server was told that a call may move on

  Scenario: A call whose deadline has passed does not move on
    Given a service with 6 members of which 6 refuse calls at their deadline
    When 5 calls are sent to the service
    Then all calls are refused for their deadline, each after 1 servers
