Feature: A shortage further down is told from level to level
  Guards against a throttle of roots that notices nothing, because the node above a
  failed call sees only the status 500 of its backend server.

  Scenario Outline: A failed request tells whether one of its calls was shed
    Given a backend server that answers with status <status>
    When a call runs there <with> a further call that was shed
    Then its answer <tells> of a shortage below

    Examples:
      | status | with    | tells         |
      | 500    | with    | tells         |
      | 504    | with    | tells         |
      | 200    | with    | does not tell |
      | 500    | without | does not tell |

  Scenario Outline: A further call that ends <how> <marks> its parent
    When a further call of a running request ends <how>
    Then the parent <marks> as shed below

    Examples:
      | how                                | marks           |
      | refused by a full node             | is marked       |
      | with a failure from a shortage     | is marked       |
      | turned away by the backend server  | is not marked   |
      | with a failure of another kind     | is not marked   |
