Feature: A soak with faults at random keeps the promises
  Guards against promises that hold for each fault alone and break when crashes, freezes
  and slowdowns of nodes, backend servers and replicas overlap.

  Scenario: A short soak breaks no promise
    When a soak of 8 s is played with seed 2
    Then faults were injected and every promise was kept
