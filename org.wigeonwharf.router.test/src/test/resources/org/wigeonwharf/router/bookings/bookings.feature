Feature: Bookings are made once
  Venue managers resend a booking when no answer arrives. The booking service's own record shows
  what was booked.

  Background:
    Given the routers "vm1" and "vm2" and the booking service are running

  Scenario: Another router repeats the answer to the first attempt
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

  Scenario: A key that no router issued books nothing
    Given the manager makes up a key
    When the manager books "upper circle" at "vm1"
    Then the last answer is 400 and says "may-have-run"
    And "upper circle" is not booked

  Scenario: A router that is stopped for maintenance confirms the booking in progress
    Given a manager has a key from "vm1"
    And bookings take 2 seconds
    When the manager books "lighting box" at "vm2" and "vm1" is stopped after the booking was made
    Then the last answer is 201 and says "ran"
    And "lighting box" is booked once

  Scenario: Nothing is booked with the keys of a router that has stopped
    Given a manager has a key of the stopped "vm1"
    When the manager books "prompt corner" at "vm2"
    Then the last answer is 503 and says "may-have-run"
    And "prompt corner" is not booked
