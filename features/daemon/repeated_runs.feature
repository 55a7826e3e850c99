Feature: Calls of repeated runs
  Guards against retries that are bounded at each hop only: the node that serves a retried
  call has to know that the calls of its run are repeats.

  Scenario Outline: A call that is sent again says so
    Given a service whose first server <ends> a call
    When a call is sent to it with 2 retry tokens
    Then its sends say that they are repeats "no, yes"
    And its sends say that an earlier run may have made the same calls "no, <again>"

    Examples:
      | ends    | again |
      | refuses | no    |
      | loses   | yes   |

  Scenario Outline: The node that serves a call learns that it is a repeat
    Given a call that <repeats>
    When it is sent to another node
    Then the call that is run there <repeats>

    Examples:
      | repeats                              |
      | is a repeat                          |
      | is a repeat and runs again           |
      | is neither                           |
