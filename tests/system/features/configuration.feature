Feature: The operator's configuration
  An acknowledged configuration is kept, can be read back, and is never lost.

  Scenario: A first configuration is accepted and read back
    When the operator puts version 1 based on version 0
    Then the response status is 200
    And the configuration read back has version 1

  Scenario: Before the first configuration there is none
    When the operator reads the configuration
    Then the response status is 404

  Scenario: A change whose acknowledgement was lost is acknowledged again
    Given version 1 is in force
    When the operator puts version 4 based on version 1
    And the operator puts version 6 based on version 4
    And the operator puts version 4 based on version 1
    Then the response status is 200
    And the configuration read back has version 6

  Scenario: Of two concurrent changes based on one version only one is accepted
    Given version 1 is in force
    When the operator puts version 5 based on version 1 with a timeout of 700 ms
    And the operator puts version 5 based on version 1 with a timeout of 900 ms
    Then the response status is 412
    And the configuration read back has a timeout of 700 ms

  Scenario Outline: An invalid configuration is refused with the name of the wrong field
    Given version 1 is in force
    When the operator puts a configuration with <fault>
    Then the response status is 400 and the body names <field>
    And the configuration read back has version 1

    Examples:
      | fault                | field        |
      | a truncated body     | JSON         |
      | an unknown service   | Service      |
      | two identical routes | PathPrefix   |
      | no weight            | TrafficSplit |
      | no timeout           | TimeoutMs    |
      | an old version       | Version      |

  Scenario: An acknowledged configuration survives a power loss
    Given version 1 is in force
    When the operator puts version 9 based on version 1
    And the control plane loses power
    Then the configuration read back has version 9

  Scenario: Hundreds of changes do not fill the log
    Given version 1 is in force
    When 300 changes follow one another
    And the control plane loses power
    Then the configuration read back has version 301
    And the log holds fewer than 100 entries
