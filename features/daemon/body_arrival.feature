Feature: Bodies of requests, in every way in which they may arrive
  Guards against a request that waits for a body that has arrived: it reaches no backend
  server and has no answer at its timeout (review case 3).

  Scenario Outline: The body of a last and of a kept request arrives <way>
    When requests of all forms are sent whose body arrives <way>, to the <parser> parser
    Then each of them is run with its whole body and is answered
    And only the connections of last requests end with the answer

    Examples:
      | way                                              | parser |
      | with its head                                    | native |
      | with its head                                    | Python |
      | after its head                                   | native |
      | after its head                                   | Python |
      | byte by byte                                     | native |
      | byte by byte                                     | Python |
      | split in its first bytes                         | native |
      | split in its first bytes                         | Python |
      | split in its data                                | native |
      | split in its data                                | Python |
      | split before its last byte                       | native |
      | split before its last byte                       | Python |
      | split in its last chunk                          | native |
      | split in its last chunk                          | Python |
      | split before its last chunk                      | native |
      | split before its last chunk                      | Python |
      | 1.5 MB in one go                                 | native |
      | 1.5 MB in one go                                 | Python |
      | 1.5 MB in trickles                               | native |
      | 1.5 MB in trickles                               | Python |
      | later than the header timeout                    | native |
      | later than the header timeout                    | Python |
      | after an interim answer                          | native |
      | after an interim answer                          | Python |
      | after an interim answer behind an earlier answer | native |
      | after an interim answer behind an earlier answer | Python |
      | with the head of a request answered before it    | native |
      | with the head of a request answered before it    | Python |
      | while an earlier request is answered             | native |
      | while an earlier request is answered             | Python |
      | before an earlier request is answered            | native |
      | before an earlier request is answered            | Python |
      | while the node starts to drain                   | native |
      | while the node starts to drain                   | Python |
      | while the listener stops listening               | native |
      | while the listener stops listening               | Python |
      | while a table comes into force                   | native |
      | while a table comes into force                   | Python |
