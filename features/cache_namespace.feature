Feature: Namespaces of cached prompt parts
  An isolated team and the others never use prompt parts that the other side computed, whenever the
  isolation began.

  # Guards against other teams using what a team computed before it was isolated, and the reverse.
  Scenario Outline: Isolation also separates what was computed before the configuration changed
    Given a platform with a configuration
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway
    When the teams "<before>" are isolated, and "<first>" sends a request
    And the teams "<after>" are isolated, and "<second>" sends a request
    Then the second request <uses> the namespace of the first

    Examples: A team becomes isolated
      | before | first   | after   | second  | uses         |
      | none   | lawyers | lawyers | clerks  | does not use |
      | none   | clerks  | lawyers | lawyers | does not use |
      | none   | lawyers | lawyers | lawyers | does not use |

    Examples: A team is no longer isolated
      | before  | first   | after | second  | uses         |
      | lawyers | lawyers | none  | clerks  | does not use |
      | lawyers | clerks  | none  | lawyers | does not use |

    Examples: Other changes of the configuration
      | before  | first   | after          | second  | uses         |
      | none    | lawyers | none           | clerks  | uses         |
      | lawyers | lawyers | lawyers        | lawyers | uses         |
      | lawyers | clerks  | lawyers        | clerks  | uses         |
      | lawyers | lawyers | lawyers        | clerks  | does not use |
      | lawyers | clerks  | lawyers,clerks | clerks  | does not use |

  # Guards against a request that arrived before the isolation sharing parts with others after it.
  Scenario: A request that waits while its team becomes isolated uses the team's own namespace
    Given a platform with a configuration
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway
    When a request of "lawyers" waits until the team is isolated
    And "clerks" sends a request
    Then the second request does not use the namespace of the first

  # Guards against a request that was sent while its team was isolated, or whose team is no longer
  # known, sharing parts with others after the configuration changed.
  Scenario Outline: A request that waits while its team <change> shares no parts with others
    Given a platform with a configuration
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway
    When the teams "<before>" are isolated, and "clerks" sends a request
    And a request of "lawyers" <state> until the team <change>
    And "clerks" sends a request
    Then no two teams' requests ran with one salt

    Examples:
      | before  | state                         | change               |
      | lawyers | waits                         | is dropped           |
      | lawyers | runs at a failing endpoint    | is dropped           |
      | none    | waits                         | is dropped           |
      | lawyers | waits                         | is no longer isolated |

  # Guards against requests without a cache salt, which use what any team computed, after their
  # service was dropped.
  Scenario Outline: A request keeps its namespace and its weights when its service is dropped while it <state>
    Given a platform with a configuration
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway
    When the teams "lawyers" are isolated, and "lawyers" sends a request
    And "clerks" sends a request
    And requests of "lawyers" and "clerks" <state> while their route moves and their service <changes>
    Then each team's requests ran with one salt, and on the weights that it names

    Examples:
      | state                                     | changes               |
      | wait for an endpoint                      | is dropped            |
      | wait for an endpoint                      | has no engines listed |
      | run at an endpoint that breaks off        | is dropped            |
      | stream from an endpoint that breaks off   | is dropped            |

  # Guards against a request without a cache salt at a service that becomes one of engines.
  Scenario: A request that was about to be sent to a plain service is not sent to its engines
    Given a platform with a configuration
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway
    When the service "lm" gets its engines while a request for it connects to an endpoint
    Then each team's requests ran with one salt, and on the weights that it names

  # Guards against a request without a cache salt at engines of which the configuration knows nothing.
  Scenario: A request with a prompt for a service that is not configured is refused
    Given a platform with a configuration
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway
    When the service "lm" is dropped, but not its route
    And "clerks" sends a request that may be refused
    Then it is refused at once with 503, and nothing ran

  # Guards against a router that restarts using another namespace than the others.
  Scenario: A router uses the same namespaces after its restart
    Given a platform with a configuration
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway
    When the teams "clerks" are isolated, and "lawyers" sends a request
    And the teams "lawyers" are isolated, and "clerks" sends a request
    And the gateway restarts, and "clerks" sends a request
    Then the second request uses the namespace of the first

  # Guards against a team that is isolated without having keys sharing what it computed before.
  Scenario Outline: A team counts as isolated if any of its entries says so
    When a configuration has the teams "<entries>"
    Then "<team>" is isolated

    Examples:
      | entries                                    | team |
      | a with key isolated, b with key            | a    |
      | a isolated, b with key                     | a    |
      | a with key, a with key isolated            | a    |
      | a with key isolated, a with key            | a    |

  # Guards against isolation that depends on how often it changed, or which versions a router saw.
  Scenario: No isolated team shares parts, whatever configurations the routers have had
    When 400 histories of 12 configurations are played with 3 routers that may be behind
    Then no request uses parts of another team if one of the two is isolated

  # Guards against two namespaces, of different models, weights or teams, with one cache salt.
  Scenario: Different namespaces have different cache salts
    Then models, weights and teams with names such as "a", "a/1", "team" and "é" never share a salt
