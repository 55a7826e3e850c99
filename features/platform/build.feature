Feature: The build for the platform
  Guards against processes that run older code than the checkout, or libraries of another
  kind of machine, from a build folder that was carried over.

  Scenario Outline: Libraries are installed anew when <change> since the last build
    Given a checkout that was built before
    When it is built again after <change>
    Then the libraries were installed <times> more time

    Examples:
      | change                          | times |
      | nothing changed                 | 0     |
      | the pins changed                | 1     |
      | the kind of machine changed     | 1     |
      | the version of Python changed   | 1     |
      | an installation broke off       | 1     |

  Scenario: Packages of the checkout replace those of an earlier build
    Given a checkout that was built before
    When it is built again after a module was removed and another one changed
    Then the build holds the modules of the checkout and names another build

  Scenario: A process tells what it runs
    When the build of this process is described
    Then it names the build, the version of Python, the machine, the event loop and the parser
