Feature: Bookings are made once
  Venue managers send a booking again when they hear nothing. The booking service's own record says
  what was booked.

  Background:
    Given the routers "vm1" and "vm2" and the booking service are running

  Scenario: The answer of the first try is given again by another router
    Given a manager has a key from "vm1"
    When the manager books "stage left" at "vm1"
    And the manager books "stage left" at "vm2"
    Then both answers confirm the same booking
    And "stage left" is booked once

  Scenario: The manager sends the booking to two routers at once
    Given a manager has a key from "vm1"
    When the manager books "stage right" at "vm1" and at "vm2" at the same time
    Then both answers confirm the same booking
    And "stage right" is booked once

  Scenario: A key that was used for one slot books no other slot
    Given a manager has a key from "vm1"
    When the manager books "fly floor" at "vm1"
    And the manager books "orchestra pit" at "vm2"
    Then the last answer is 422 and says "not-run"
    And "orchestra pit" is not booked

  Scenario: Another account's key books nothing
    Given the civic hall has a key from "vm1"
    When the manager books "dress circle" at "vm1"
    Then the last answer is 400 and says "not-run"
    And "dress circle" is not booked

  Scenario: A key that no router made books nothing
    Given the manager makes up a key
    When the manager books "upper circle" at "vm1"
    Then the last answer is 400 and says "may-have-run"
    And "upper circle" is not booked

  Scenario: A router that is stopped for maintenance confirms the booking under way
    Given a manager has a key from "vm1"
    And bookings take 2 seconds
    When the manager books "lighting box" at "vm2" and "vm1" is stopped after the booking was made
    Then the last answer is 201 and says "ran"
    And "lighting box" is booked once

  Scenario: After the issuing router has gone nothing is booked with its keys
    Given a manager has a key of the stopped "vm1"
    When the manager books "prompt corner" at "vm2"
    Then the last answer is 503 and says "may-have-run"
    And "prompt corner" is not booked
