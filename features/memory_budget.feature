Feature: Memory for the requests of callers
  Load pattern "bodies short of their end": callers send most of a long body, and then nothing.

  Background:
    Given a VM of 64 MB, of which requests may take 16 MB together and long ones 14 MB

  Scenario: The incomplete request that holds most is refused, and room is made once
    Given the incomplete request "a" holds 8 MB
    And the incomplete request "b" holds 5 MB
    When the incomplete request "c" grows to 3 MB
    Then the request "a" is refused, and no other
    When the incomplete request "c" grows to 3 MB
    Then the request "a" is refused, and no other
    When the request "a" is released
    And the incomplete request "c" grows to 3 MB
    Then 8 MB are held

  Scenario: The request that would hold most is refused itself
    Given the incomplete request "a" holds 8 MB
    And the incomplete request "b" holds 5 MB
    When the incomplete request "b" grows to 9 MB
    Then the request "b" is refused, and no other
    And 13 MB are held

  Scenario: A complete request is not refused
    Given the complete request "a" holds 13 MB
    When the incomplete request "b" grows to 2 MB
    Then the request "b" is refused, and no other

  Scenario: Short requests have room that long ones cannot take
    Given the complete request "a" holds 14 MB
    When the incomplete request "b" grows to 0.06 MB
    Then no request is refused
    And 14.06 MB are held
