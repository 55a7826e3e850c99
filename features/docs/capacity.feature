Feature: The capacity page
  Guards against figures on the page that differ from the measurements.

  Scenario: The page is the one that its measurements give
    When the capacity page is rendered from the committed measurements
    Then it equals the capacity page of the repository
