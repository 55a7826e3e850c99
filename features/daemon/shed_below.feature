Feature: Downstream overload is reported through all levels of a call
  Guards against root requests that are not throttled during a downstream overload,
  because the node above a failed call only sees status 500 of its backend server.

  Scenario Outline: A failed request reports whether one of its sub-calls was shed
    Given a backend server that answers with status <status>
    When a call runs there <with> a sub-call that was shed
    Then its answer <tells> of a downstream overload

    Examples:
      | status | with    | tells         |
      | 500    | with    | tells         |
      | 504    | with    | tells         |
      | 200    | with    | does not tell |
      | 500    | without | does not tell |

  Scenario Outline: A downstream overload of a sub-call is recorded at its parent
    When a sub-call of a running request ends <how>
    Then the parent <marks> for a downstream overload

    # In order: refused by a node with reason overload, answered 500 with reason
    # shed-below, shed by the backend server itself, answered 500 without a reason.
    Examples:
      | how                                | marks           |
      | refused by a full node             | is marked       |
      | with a failure from a shortage     | is marked       |
      | turned away by the backend server  | is not marked   |
      | with a failure of another kind     | is not marked   |
