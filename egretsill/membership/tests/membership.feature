Feature: Which processes answer
  A fleet of processes over a network in memory and in virtual time.

  Scenario: Each side of a partition goes on and healing joins them
    Given a fleet of 24 processes with 5 percent loss
    When the fleet is split in two for 10 seconds
    Then each side sees its own processes as alive and the others as dead
    When the partition heals
    Then all views agree within 10 seconds

  Scenario: Both sides of a partition change while they are apart
    Given a fleet of 24 processes with 5 percent loss
    When the fleet is split in two for 10 seconds
    And process 3 crashes
    And process 4 ends
    And process 30 joins knowing the others
    And 6 seconds pass
    And the partition heals
    Then all views agree within 10 seconds

  Scenario: A partition of an hour heals as a short one does
    Given a fleet of 3 processes with 0 percent loss
    When the fleet is split in two for 3600 seconds
    And the partition heals
    Then all views agree within 10 seconds

  Scenario: A frozen process is dead for the others and refutes that when it wakes
    Given a fleet of 24 processes with 5 percent loss
    When process 5 is frozen for 12 seconds
    Then process 5 is dead for all others
    When process 5 wakes
    Then process 5 is not fresh
    And all views agree within 10 seconds
    And process 5 is fresh

  Scenario: A process that was frozen for a moment is not declared dead
    Given a fleet of 24 processes with 0 percent loss
    When process 5 is frozen for 0.8 seconds
    And process 5 wakes
    And 5 seconds pass
    Then nobody was declared dead

  Scenario: A woken process chooses no target that left or died in its pause
    Given a fleet of 24 processes with 5 percent loss
    When process 5 is frozen for 1 seconds
    And process 7 crashes
    And process 8 ends
    And 9 seconds pass
    Then process 5 still holds 7 and 8 available
    When process 5 wakes
    Then process 5 never chooses 7 or 8 while it is fresh

  Scenario: A leaving process gets no new work and is no alarm
    Given a fleet of 24 processes with 5 percent loss
    When process 6 announces that it leaves
    And 2 seconds pass
    Then process 6 is leaving for all others
    When 10 seconds pass
    Then process 6 is leaving for all others
    And nobody was declared dead

  Scenario: A process that stays after all is used again
    Given a fleet of 24 processes with 5 percent loss
    When process 6 announces that it leaves
    And 2 seconds pass
    And process 6 announces that it stays
    Then all views agree within 5 seconds

  Scenario: A VM that replaces another at the same address
    Given a fleet of 24 processes with 5 percent loss
    When process 7 crashes
    And another VM starts at the address of process 7 knowing the others
    And 3 seconds pass
    Then process 7 is dead for all others
    And all views agree within 10 seconds

  Scenario: All processes start at once
    Given a fleet of 1 processes with 0 percent loss
    When processes 2 to 20 join knowing the others
    Then all views agree within 10 seconds

  Scenario: A slow process takes no other for dead
    Given a fleet of 24 processes with 5 percent loss
    When process 9 runs only every 0.9 seconds for 20 seconds
    Then nobody was declared dead by process 9
