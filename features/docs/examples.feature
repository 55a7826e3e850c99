Feature: Examples on the pages run as shown

  Scenario: The examples of the pages run against the demo
    Given a running demo for the examples of the pages
    Then the examples of "README.md" give what the page shows
    And the examples of "docs/callers.md" give what the page shows
    And the examples of "docs/backend-servers.md" give what the page shows
    And the examples of "docs/operators/edit-and-audit.md" give what the page shows
    And the examples of "docs/operators/overload.md" give what the page shows
    And the demo of the examples ends gracefully when it gets SIGINT
