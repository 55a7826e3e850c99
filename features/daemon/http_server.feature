Feature: HTTP interfaces for operators and backend servers
  Guards against a change or a heartbeat that waits for a body that has arrived, or for
  one that never comes.

  Scenario Outline: The body of a last and of a kept request arrives <way> at an interface
    When requests of all forms are sent to an interface, whose body arrives <way>
    Then the interface gets each body in full

    Examples:
      | way                          |
      | with its head                |
      | after its head               |
      | byte by byte                 |
      | split in its first bytes     |
      | split before its last byte   |
      | split before its last chunk  |

  Scenario Outline: A body that never comes is given up
    When a client of an interface with a body timeout of 200 ms stops within a body <framing>
    Then the client gets status 408 and its connection closes

    Examples:
      | framing       |
      | with a length |
      | in chunks     |
