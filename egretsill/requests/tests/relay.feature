Feature: What a caller is told when something fails on the way

  Scenario: An order outlives its relay link
    Given a caller's order that runs at a backend server
    When its relay link breaks at both ends
    Then the caller has its whole answer
    And the order started once

  Scenario: The gate's agent is paused until after the deadline
    Given a caller's order that its gate has not read yet
    When the gate's agent is paused until after the deadline
    Then the caller is told that the end is unknown
    And the order started 0 times

  Scenario: The gate's agent dies while the order runs
    Given a caller's order that runs at a backend server
    When the gate's agent dies and comes back
    Then the caller is told that the end is unknown
    And the order started once

  Scenario: The backend server says that it did not run the order
    Given a caller's order that runs at a backend server
    When the backend server sheds it
    Then the caller has its whole answer
    And the order started once

  Scenario: Every target refuses
    Given a caller's order that its gate has not read yet
    When all gates stop new work
    Then the caller is told that it was not run
    And the order started 0 times

  Scenario: A crossed answer comes after the request was asked about anew
    Given a caller's order with a part of its answer on the way
    When the link is late and the asker goes over to a new one
    Then the caller has its whole answer
    And the order started once
