Feature: Changed settings
  Guards against a change of the settings file that is missed without a signal, and
  against a faulty file that ends a process that runs.

  Scenario: A change is noticed without a signal
    Given a watched settings file of a node
    When the file names other control addresses
    Then the watch reports the change and reads the new addresses

  Scenario: A faulty file is reported and the settings in use are kept
    Given a watched settings file of a node
    When the file is cut in the middle
    Then the watch reports the change and reads nothing

  Scenario: A port for control peers replaces the ports of their addresses
    Given a watched settings file of a node
    When the file has the control peer port 7620
    Then all control addresses of the file have the port 7620
