Feature: The demo

  Scenario: One run of the demo serves, edits, and leaves no process behind
    Given an empty folder for the demo
    When the demo runs once
    Then the demo ends with status 0
    And the demo printed "One request: status 200, outcome done"
    And the demo printed a refusal after the edit for each of its 4 nodes
    And no process of the demo is left

  Scenario: A signal during the start ends the processes that were started
    Given an empty folder for the demo
    When the demo gets SIGTERM while its replicas start
    Then the demo ends with status 130
    And no process of the demo is left

  Scenario Outline: Options that are not valid start nothing
    Given an empty folder for the demo
    When the demo runs once with "<options>"
    Then the demo ends with status 2
    And the demo reports "<problem>"
    And the demo wrote no settings

    Examples:
      | options                   | problem                                |
      | --limit-seconds 0         | --limit-seconds must be above 0        |
      | --folder /proc/version    | cannot make the folder                 |
