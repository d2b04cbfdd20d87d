Feature: Membership of a fleet
  A fleet of processes on an in-memory network in virtual time.

  Scenario: Both sides of a partition keep working and merge when it heals
    Given a fleet of 24 processes with 5 percent loss
    When the fleet is split in two for 10 seconds
    Then each side sees its own processes as alive and the others as dead
    When the partition heals
    Then all views agree within 10 seconds

  Scenario: Members change on both sides during a partition
    Given a fleet of 24 processes with 5 percent loss
    When the fleet is split in two for 10 seconds
    And process 3 crashes
    And process 4 ends
    And process 30 joins knowing the others
    And 6 seconds pass
    And the partition heals
    Then all views agree within 10 seconds

  Scenario: Views agree after a partition of one hour
    Given a fleet of 3 processes with 0 percent loss
    When the fleet is split in two for 3600 seconds
    And the partition heals
    Then all views agree within 10 seconds

  Scenario: A process declared dead while frozen refutes that when it resumes
    Given a fleet of 24 processes with 5 percent loss
    When process 5 is frozen for 12 seconds
    Then all others see process 5 as dead
    When process 5 resumes
    Then the view of process 5 is stale
    And all views agree within 10 seconds
    And the view of process 5 is fresh

  Scenario: A process frozen for less than a second is not declared dead
    Given a fleet of 24 processes with 0 percent loss
    When process 5 is frozen for 0.8 seconds
    And process 5 resumes
    And 5 seconds pass
    Then no process was declared dead

  Scenario: A resumed process uses no target that ended during its pause
    Given a fleet of 24 processes with 5 percent loss
    When process 5 is frozen for 1 seconds
    And process 7 crashes
    And process 8 ends
    And 9 seconds pass
    Then process 5 still lists 7 and 8 as available
    When process 5 resumes
    Then process 5 never lists 7 or 8 while its view is fresh

  Scenario: A leaving process is not declared dead
    Given a fleet of 24 processes with 5 percent loss
    When process 6 announces that it leaves
    And 2 seconds pass
    Then all others see process 6 as leaving
    When 10 seconds pass
    Then all others see process 6 as leaving
    And no process was declared dead

  Scenario: A process that cancels its leaving becomes available again
    Given a fleet of 24 processes with 5 percent loss
    When process 6 announces that it leaves
    And 2 seconds pass
    And process 6 announces that it stays
    Then all views agree within 5 seconds

  Scenario: A VM that is replaced at the same address is declared dead
    Given a fleet of 24 processes with 5 percent loss
    When process 7 crashes
    And another VM starts at the address of process 7 knowing the others
    And 3 seconds pass
    Then all others see process 7 as dead
    And all views agree within 10 seconds

  Scenario: All processes start at once
    Given a fleet of 1 processes with 0 percent loss
    When processes 2 to 20 join knowing the others
    Then all views agree within 10 seconds

  Scenario: A slow process declares no other process dead
    Given a fleet of 24 processes with 5 percent loss
    When process 9 runs only every 0.9 seconds for 20 seconds
    Then no process was declared dead by process 9
