Feature: Wiring of a node with decisions turned off
  Guards against a baseline of a measurement that still makes the decision which it is
  meant to leave out.

  Scenario Outline: Turning off size classes also frees the slots kept for short calls
    Given a factory-built node with the decisions turned off: <disabled>
    When 8 calls of a row that states long reach its gate with 8 slots
    Then <running> of these long calls run

    Examples:
      | disabled               | running |
      | none                   | 4       |
      | size-classes           | 8       |
      | admission              | 8       |
      | admission,size-classes | 8       |
