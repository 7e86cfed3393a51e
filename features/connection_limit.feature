Feature: Limit on the connections of callers
  Load pattern "silent crowd": callers connect and send nothing, or little of a request.

  Background:
    Given a process with 22 sockets, 16 of them its own, and 3 connections of callers

  Scenario Outline: Of <first>, <second> and <third>, <closed> makes room
    Given the connections are <first>, <second> and <third>
    When a connection is opened
    Then the connection that is <closed> was closed, and 3 are open

    Examples:
      | first         | second        | third         | closed        |
      | idle since 2  | idle since 1  | reading 10    | idle since 1  |
      | serving       | reading 10    | idle since 9  | idle since 9  |
      | serving       | reading 20    | reading 10    | reading 10    |
      | idle with new | reading 20    | idle since 2  | idle since 2  |
      | idle with new | reading 20    | serving       | reading 20    |

  Scenario: A new connection is rejected only when all others are being served
    Given the connections are serving, serving and serving
    When a connection is opened
    Then the new connection was rejected, and 3 are open
