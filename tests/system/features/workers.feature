Feature: Worker registrations and heartbeats
  The control plane knows its workers from their heartbeats only, and publishes each change once.

  Scenario: Heartbeats after the registration change nothing
    When worker i-1 sends a heartbeat with sequence 1
    Then the response status is 200 and the body names the owner
    And worker i-1 is ready
    When worker i-1 sends a heartbeat with sequence 2
    Then 1 change was published

  Scenario: A draining worker is published before its heartbeat is acknowledged
    Given worker i-1 is registered
    When worker i-1 sends a heartbeat with state draining
    Then the response status is 200 and the body names the owner
    And worker i-1 is draining
    And 2 changes were published

  Scenario: A late heartbeat does not restore a deregistered worker
    Given worker i-1 is registered
    When worker i-1 deregisters
    And worker i-1 sends a heartbeat with sequence 9
    Then the response status is 200 and the body names the owner
    And worker i-1 is unknown

  Scenario: A worker without heartbeats becomes silent and is later removed
    Given worker i-1 is registered
    And worker i-2 is registered
    When 4 seconds pass with heartbeats of worker i-2 only
    Then worker i-1 is silent
    When 32 seconds pass with heartbeats of worker i-2 only
    Then worker i-1 is unknown

  Scenario: A worker at the address of another one replaces it
    Given worker i-1 is registered
    When worker i-9 registers at the address of worker i-1
    Then worker i-1 is unknown
    And worker i-9 is ready

  Scenario: Registered workers survive a power loss
    Given worker i-1 is registered
    When the control plane loses power
    Then worker i-1 is ready

  Scenario Outline: An unreadable heartbeat is refused
    When a heartbeat with <fault> arrives
    Then the response status is 400

    Examples:
      | fault            |
      | invalid JSON     |
      | no service       |
      | an unknown state |
