Feature: Workers that register, leave and fall silent
  The control plane knows its workers by their heartbeats alone, and tells every change once.

  Scenario: A worker registers and its later heartbeats change nothing
    When worker i-1 sends a heartbeat with sequence 1
    Then the answer is 200 and names the owner
    And worker i-1 is ready
    When worker i-1 sends a heartbeat with sequence 2
    Then 1 change was told

  Scenario: A worker that leaves is told to all before it is acknowledged
    Given worker i-1 is registered
    When worker i-1 says that it is draining
    Then the answer is 200 and names the owner
    And worker i-1 is draining
    And 2 changes were told

  Scenario: A late heartbeat does not bring back a worker that has gone
    Given worker i-1 is registered
    When worker i-1 says goodbye
    And worker i-1 sends a heartbeat with sequence 9
    Then the answer is 200 and names the owner
    And worker i-1 is unknown

  Scenario: A worker that falls silent is kept in doubt, then dropped
    Given worker i-1 is registered
    And worker i-2 is registered
    When 4 seconds pass with heartbeats of worker i-2 only
    Then worker i-1 is silent
    When 32 seconds pass with heartbeats of worker i-2 only
    Then worker i-1 is unknown

  Scenario: An address that passes to another worker ends the earlier one
    Given worker i-1 is registered
    When worker i-9 registers at the address of worker i-1
    Then worker i-1 is unknown
    And worker i-9 is ready

  Scenario: Workers are still known after a loss of power
    Given worker i-1 is registered
    When the control plane loses power
    Then worker i-1 is ready

  Scenario Outline: A heartbeat that can't be read is refused
    When a heartbeat with <fault> comes
    Then the answer is 400

    Examples:
      | fault         |
      | no JSON       |
      | no service    |
      | a false state |
