Feature: Generated deployments, traces and stated outcomes
  Guards against a trace that changes between runs with one seed, and against files
  that the runner would refuse.

  Scenario Outline: Each workload and measure gives files that the runner accepts
    When the generator writes the "<measure>" measure of the "<workload>" with seed 3
    Then the runner accepts the generated files
    And the generated trace has faults: <faults>
    And the generator writes equal files with seed 3 and other files with seed 4

    Examples:
      | workload  | measure      | faults |
      | atelier   | overload     | yes    |
      | atelier   | swing        | no     |
      | atelier   | uploads      | no     |
      | atelier   | slow-servers | yes    |
      | regulator | overload     | yes    |
      | regulator | swing        | no     |
      | regulator | uploads      | no     |
      | regulator | slow-servers | yes    |
      | atelier   | soak         | yes    |
      | regulator | soak         | yes    |

  Scenario: The sizes are those of the requirements at full scale
    Then at full scale the "atelier" has archive 4 x 120, status 4 x 50
    And at full scale the "regulator" has tariffs 4 x 35, audits 3 x 40, passages 3 x 25
