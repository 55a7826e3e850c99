Feature: Uploads that are refused before they run
  Guards against an upload that fails although another node could take it, and against
  one whose parts are lost or mixed when it is sent again.

  Scenario: A refused upload reaches the next node complete
    Given a node that knows two raw peers of a service
    When an upload of 1 MiB is refused by the first peer after a full credit window
    Then the second peer gets the whole upload and its answer reaches the caller

  Scenario: An upload that was consumed is not sent again
    Given a node that knows two raw peers of a service
    When an upload of 1 MiB is refused by the first peer after it was consumed
    Then the caller is told that the upload was refused and no other peer was asked
