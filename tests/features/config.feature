Feature: Operators change the configuration while traffic runs

  Background:
    Given a log with an instance that follows it
    When the operator runs "account set ward --rate 5 --burst 10"

  Scenario: A key works until it is withdrawn
    When the operator runs "key issue ward --name tablet"
    Then the key is admitted
    When the operator runs "key withdraw tablet"
    Then the key is refused with code 2001

  Scenario: An account in use stays
    When the operator runs "key issue ward --name tablet"
    And the operator runs "account remove ward"
    Then it exits with 1 and says "used by key tablet"
    And the key is admitted

  Scenario: An accept whose answer was lost is still a true accept
    When the log has the fault "lose_answer" of "1"
    And the operator runs "account set ward --rate 5 --burst 20"
    Then it exits with 0 and says "accepted"
    And the burst of "ward" is 20

  Scenario: What the log cannot take is not called accepted
    When the log has the fault "outage" of "refuse"
    And the operator runs "account set ward --rate 5 --burst 20"
    Then it exits with 3 and says "6000"
    And the burst of "ward" is 10
