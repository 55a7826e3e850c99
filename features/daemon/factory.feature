Feature: Creation of a node with disabled decisions
  Guards against a baseline measurement that still makes the decision it is meant to
  omit.

  Scenario Outline: Disabled size classes also release the slots reserved for short calls
    Given a factory-built node with these decisions disabled: <disabled>
    When 8 calls of a row that states long arrive at its gate with 8 slots
    Then <running> of these long calls run

    Examples:
      | disabled               | running |
      | none                   | 4       |
      | size-classes           | 8       |
      | admission              | 8       |
      | admission,size-classes | 8       |
