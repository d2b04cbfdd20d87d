Feature: A draining process leaves without interrupting work

  Scenario Outline: any signal stops new work at once
    Given an agent with 2 requests and 3 flows
    When the <signal> says that it leaves
    Then it stops new work, notifies its peers and sends GOAWAY
    And it has not left after 36000 seconds

    Examples:
      | signal        |
      | vm-list       |
      | configuration |
      | health-page   |
      | termination   |

  Scenario: the last request and flow end
    Given an agent with 1 requests and 1 flows
    When the termination says that it leaves
    And 7200 seconds pass
    And it has 0 requests and 1 flows
    And 60 seconds pass
    Then it has not left
    When it has 0 requests and 0 flows
    And 4 seconds pass
    Then it has not left
    When 2 seconds pass
    Then it has left

  Scenario: a late packet extends the linger time
    Given an agent with 0 requests and 0 flows
    When the vm-list says that it leaves
    And 4 seconds pass
    And a packet arrives
    And 4 seconds pass
    Then it has not left
    When 2 seconds pass
    Then it has left

  Scenario Outline: a signal is withdrawn
    Given an agent with 1 requests and 1 flows
    When the <signal> says that it leaves
    And the <signal> says that it stays
    Then it <outcome> new work

    Examples:
      | signal        | outcome  |
      | vm-list       | refuses  |
      | configuration | takes    |
      | health-page   | takes    |
      | termination   | refuses  |

  Scenario: one of two signals is withdrawn
    Given an agent with 1 requests and 1 flows
    When the configuration says that it leaves
    And the health-page says that it leaves
    And the health-page says that it stays
    Then it refuses new work

  Scenario: a balancer forwards until no more packets arrive from the fabric
    Given a balancer
    When the vm-list says that it leaves
    And packets arrive for 3600 seconds
    Then it has not left
    When 29 seconds pass
    Then it has not left
    When 2 seconds pass
    Then it has left
