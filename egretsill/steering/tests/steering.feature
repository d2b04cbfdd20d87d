Feature: Established flows survive changes of balancers, targets and keys
  Every process receives a configuration up to 30 seconds late, and any packet of a flow may arrive
  at any balancer.

  Background:
    Given a service of 7 targets behind 4 balancers
    And 200 flows that each send a packet every 7 seconds

  Scenario: All balancers are replaced one by one
    When all balancers are replaced, one every 40 seconds
    Then no flow is broken
    And all balancers are new

  Scenario: All targets are drained and replaced one by one
    When all targets are replaced, one every 80 seconds
    Then no flow is broken
    And new flows go to the new targets only

  Scenario: Balancers and targets are replaced at the same time, twice
    When all targets are replaced, one every 80 seconds
    And all balancers are replaced, one every 40 seconds
    And all targets are replaced, one every 80 seconds
    And all balancers are replaced, one every 40 seconds
    Then no flow is broken
    And new flows go to the new targets only

  Scenario: Keys are rotated while balancers are replaced
    When the connection ID key is rotated in two steps, 60 seconds apart
    And all balancers are replaced, one every 40 seconds
    Then no flow is broken
