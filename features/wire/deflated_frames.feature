Feature: Messages between availability zones are deflated
  Guards against the cost of repeated headers in traffic between zones, against corrupted
  bodies, and against a peer that exhausts the memory of this process.

  Scenario: A hundred similar calls are decoded unchanged and take less than half of the bytes
    Given a deflating encoder and a decoder whose peer is authenticated
    When 100 calls with bodies of 0 to 300 bytes are sent
    Then the decoder returns the same calls
    And they took less than half of the bytes of plain frames without counting bodies

  Scenario: A deflated frame is refused until the peer is authenticated
    Given a deflating encoder and a decoder whose peer is not authenticated
    When 1 call with bodies of 0 to 300 bytes is sent
    Then the decoder reports a protocol error

  Scenario: A frame that inflates beyond the size limit is refused
    Given a deflating encoder and a decoder whose peer is authenticated
    When a frame that inflates to 64 MiB is sent
    Then the decoder reports a protocol error

  Scenario: Damaged deflated frames raise no error other than a protocol error
    When 300 damaged deflated frames are decoded with seed 11
    Then at least one of them is refused

  Scenario Outline: Only connections between zones are deflated
    Given two connected peers, one in zone "a" and one in zone "<zone>"
    When one sends the other 50 calls
    Then the calls arrive in order, and the bytes were <form>

    Examples:
      | zone | form     |
      | a    | plain    |
      | b    | deflated |
