Feature: The operator's configuration
  What the operator puts in force is kept, told again, and never lost once acknowledged.

  Scenario: A first configuration is taken and read back
    When the operator puts version 1 on top of 0
    Then the answer is 200
    And the configuration read back is version 1

  Scenario: Before the first configuration there is none
    When the operator reads the configuration
    Then the answer is 404

  Scenario: A change whose acknowledgement was lost is acknowledged again
    Given version 1 is in force
    When the operator puts version 4 on top of 1
    And the operator puts version 6 on top of 4
    And the operator puts version 4 on top of 1
    Then the answer is 200
    And the configuration read back is version 6

  Scenario: Of two operators who build on one version one wins
    Given version 1 is in force
    When the operator puts version 5 on top of 1 with time-out 700
    And the operator puts version 5 on top of 1 with time-out 900
    Then the answer is 412
    And the configuration read back has time-out 700

  Scenario Outline: An invalid configuration is refused with the field that is wrong
    Given version 1 is in force
    When the operator puts a configuration with <fault>
    Then the answer is 400 and names <field>
    And the configuration read back is version 1

    Examples:
      | fault               | field        |
      | a cut body          | JSON         |
      | an unknown service  | Service      |
      | two routes alike    | PathPrefix   |
      | no weight           | TrafficSplit |
      | no time-out         | TimeoutMs    |
      | an old version      | Version      |

  Scenario: What was acknowledged survives a loss of power
    Given version 1 is in force
    When the operator puts version 9 on top of 1
    And the control plane loses power
    Then the configuration read back is version 9

  Scenario: Hundreds of changes in a day do not fill the log
    Given version 1 is in force
    When 300 changes follow one another
    And the control plane loses power
    Then the configuration read back is version 301
    And the log holds fewer than 100 entries
