Feature: Reload of changed settings
  Guards against a change of the settings file that is not detected without SIGHUP, and
  against an invalid file that stops a running process.

  Scenario: A change is detected without a signal
    Given a watched settings file of a node
    When the file lists other control addresses
    Then the watcher reports the change and reads the new addresses

  Scenario: An invalid file is reported and the current settings stay in use
    Given a watched settings file of a node
    When the file is truncated in the middle
    Then the watcher reports the change and reads no settings

  Scenario: The control peer port replaces the ports of the control addresses
    Given a watched settings file of a node
    When the file has the control peer port 7620
    Then all control addresses of the file have the port 7620
