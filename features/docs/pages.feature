Feature: Pages agree with the code

  Scenario: The page of the table lists every column as the registry has it
    When the page of the table is compared with the column registry
    Then the page has all columns in order, with defaults and descriptions
    And the bounds on the page are accepted and values beyond them are refused

  Scenario: The page of errors lists every reason with its status
    When the page of errors is compared with the reasons
    Then every reason has one row and no row is left over
    And every status and Retry-After on the page is the one of the node

  Scenario: Links between the pages lead to files
    Then every relative link in README.md and docs leads to a file

  Scenario: The settings on the install page are valid and complete
    When the settings on the install page are checked
    Then every example passes --check
    And the page names every field of the settings

  Scenario: The page of exit statuses agrees with the operator's command
    Then the page of edits names the exit status of each verdict

  Scenario: The scenarios that the page of promises names exist
    Then every scenario and feature on the page of promises is found in features
    And the page of promises has one row for each invariant and event of the design
