Feature: Handshake between two processes
  Guards against a peer without the deployment's key being heard, and against a proof
  that is sent back to its maker.

  Scenario: Two holders of the key authenticate each other
    Given a handshake between keys "alpha" and "alpha"
    Then both sides of the handshake are complete

  Scenario: A client with another key is refused
    Given a handshake between keys "alpha" and "beta"
    Then neither side of the handshake is complete

  Scenario: A reflected proof is refused
    Given a handshake whose client sends the server's own proof back
    Then the server's side of the handshake fails

  Scenario: Bytes that are no frame are refused with a bound on memory
    When 500 random byte strings are fed to frame decoders with seed 7
    Then every frame decoder either waits or reports a protocol error
