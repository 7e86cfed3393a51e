Feature: Settings of the programs
  Every flag can be set by an environment variable; an error states the invalid setting and a remedy.

  Scenario Outline: An invalid setting ends the program with status 2
    When "<program>" starts with flags "<flags>" and environment "<environment>"
    Then it exits with 2 and prints an error with "<text>"

    Examples:
      | program | flags                               | environment                | text                  |
      | router  | --name=a --data_centre=b            |                            | mesh_keys             |
      | router  | --data_centre=b --mesh_keys=k       |                            | --name                |
      | router  | --name=a --data_centre=b --mesh_keys=k --port=70000 |            | --port                |
      | router  | --name=a --data_centre=b --mesh_keys=k | BRONZEMUX_PORT=many     | BRONZEMUX_PORT='many' |
      | router  | --name=a --data_centre=b --mesh_keys=k --advertised_peer_address=vm:1 |  | --advertised_peer_address |
      | router  | --unknown                           |                            | unknown               |
      | dev     |                                     | BRONZEMUX_ROUTERS=99       | BRONZEMUX_ROUTERS     |
      | dev     | --examples=none                     |                            | --examples='none'     |
      | dev     | --deployment=other                  |                            | --deployment          |

  Scenario: A flag takes precedence over its environment variable
    When "dev" starts with flags "--examples=none" and environment "BRONZEMUX_EXAMPLES=other"
    Then it exits with 2 and prints an error with "--examples='none'"
