Feature: Outcomes reported to the caller when the relay fails

  Scenario: An order completes after its relay link breaks
    Given a caller's order that runs at a backend server
    When its relay link breaks at both ends
    Then the caller has its complete answer
    And the order started once

  Scenario: The gate's agent is paused until after the deadline
    Given a caller's order that its gate has not read yet
    When the gate's agent is paused until after the deadline
    Then the outcome reported to the caller is unknown
    And the order started 0 times

  Scenario: The gate's agent crashes while the order runs
    Given a caller's order that runs at a backend server
    When the gate's agent crashes and restarts
    Then the outcome reported to the caller is unknown
    And the order started once

  Scenario: The backend server reports that it did not run the order
    Given a caller's order that runs at a backend server
    When the backend server sheds it
    Then the caller has its complete answer
    And the order started once

  Scenario: Every target refuses
    Given a caller's order that its gate has not read yet
    When all gates stop new work
    Then the caller is informed that the order was not run
    And the order started 0 times

  Scenario: A delayed answer arrives on the old link after the request was resumed
    Given a caller's order with a part of its answer in flight
    When the link is delayed and the requester switches to a new one
    Then the caller has its complete answer
    And the order started once
