Feature: Authenticated connection between two processes
  Guards against traffic between availability zones that no metric explains, and against
  a handler that closes the connection when its own ping is answered.

  Scenario: The answer to a ping is not passed on and leaves the connection open
    Given a connection within a zone and a connection between two zones
    When 3 pings are sent on the first connection and 5 table notices on the second
    Then the sender of the pings got no message and its connection is open

  Scenario: Frames to the own zone and to another zone are counted by kind of message
    Given a connection within a zone and a connection between two zones
    When 3 pings are sent on the first connection and 5 table notices on the second
    Then the account has 3 pings within the zone and 5 table notices between zones
    And the bytes in the account are those that were written

  # Guards against a task that ends with an error that nobody handles.
  Scenario: A message with a number out of range raises a protocol error
    Then encoding a member with 2147483648 slots raises a protocol error
