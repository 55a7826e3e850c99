Feature: Uploads that are refused before they run
  Guards against an upload that fails although another node could accept it, and against
  one that is lost in part or corrupted when it is sent again.

  Scenario: A refused upload reaches the next node completely
    Given a node that knows two raw peers of a service
    When an upload of 1 MiB is refused by the first peer after a full credit window
    Then the second peer gets the complete upload and its answer reaches the caller

  Scenario: An upload that was consumed is not sent again
    Given a node that knows two raw peers of a service
    When an upload of 1 MiB is refused by the first peer after it was consumed
    Then the caller is told that the upload was refused and no other peer was tried
