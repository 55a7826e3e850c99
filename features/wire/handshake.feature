Feature: Handshake between two processes
  Guards against a peer that is accepted without the deployment's key, against a
  proof that is reflected to its sender, and against malformed frames that raise an error
  other than a protocol error.

  Scenario: Two processes with the same key authenticate each other
    Given a handshake between keys "alpha" and "alpha"
    Then both sides of the handshake are complete

  Scenario: A client with another key is refused
    Given a handshake between keys "alpha" and "beta"
    Then neither side of the handshake is complete

  Scenario: A reflected proof is refused
    Given a handshake whose client reflects the server's proof
    Then the server's side of the handshake fails

  Scenario: Random bytes raise no error other than a protocol error
    When 500 random byte strings are fed to frame decoders with seed 7
    Then at least one frame decoder reports a protocol error
