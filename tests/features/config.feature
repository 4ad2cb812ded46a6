Feature: Operators change the configuration while traffic runs

  Background:
    Given a log with an instance that follows it
    When the operator runs "account set ward --rate 5 --burst 10"

  Scenario: A key works until it is withdrawn
    When the operator runs "key issue ward --name tablet"
    Then the key is admitted
    When the operator runs "key withdraw tablet"
    Then the key is refused with code 2001

  Scenario: An account in use cannot be removed
    When the operator runs "key issue ward --name tablet"
    And the operator runs "account remove ward"
    Then it exits with 1 and says "used by key tablet"
    And the key is admitted

  Scenario: A change is accepted although the response to its append was lost
    When the log fault "lose_answer" is set to "1"
    And the operator runs "account set ward --rate 5 --burst 20"
    Then it exits with 0 and says "accepted"
    And the burst of "ward" is 20

  Scenario: A change is not reported as accepted during a log outage
    When the log fault "outage" is set to "refuse"
    And the operator runs "account set ward --rate 5 --burst 20"
    Then it exits with 3 and says "6000"
    And the burst of "ward" is 10
