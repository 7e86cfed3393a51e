Feature: Odd entries among sound ones in the store's tables
  Another writer may leave any bytes among the entries of the endpoints. Such an entry names no
  endpoint to use, and the others stay in use.

  Scenario Outline: One odd entry stops neither the use of the sound ones nor the following of the table
    Guards against a router that fails, or stops following the endpoints, because of one odd entry.

    Given a router that follows the endpoints of a store, with a peer that gets its rows
    When an endpoint's entry <what> is written between two sound ones
    Then the router and its peer use the two sound endpoints only
    And the router can choose an endpoint for requests of both kinds
    And one log line rejects the odd entry and names a remedy
    And the router still follows the table

    Examples:
      | what                                     |
      | with slots of 400 digits                 |
      | with slots of 5000 digits                |
      | with slots 1e400                         |
      | with a start of 400 digits               |
      | with a heartbeat of 400 digits           |
      | with weights of 400 digits               |
      | nested in 900 lists                      |
      | nested in 100000 lists                   |
      | with port 70000                          |
      | with port 0                              |
      | with a port with a superscript digit     |
      | with a port of 5000 digits               |
      | with a port with a leading zero          |
      | at the address 0.0.0.0                   |
      | at a multicast address                   |
      | at the broadcast address                 |
      | with a lone surrogate in its key         |
      | with a lone surrogate in its service     |
      | with a lone surrogate in its data centre |
      | with a lone surrogate in a model's name  |
      | with a data centre of a megabyte         |
      | with a state of a megabyte               |

  Scenario Outline: An unexpected error while one row is <step> affects that row only
    Guards against a feed that ends at an error that no decoder foresaw. The replica had taken the
    rows by then, so that the others of the same response stayed unknown.

    Given a router that follows the endpoints of a store, with a peer that gets its rows
    And an unexpected error occurs at the router when the odd entry is <step>
    When an endpoint's entry with an unforeseen fault is written between two sound ones
    Then the router uses the endpoints <used>
    And one log line tells the error and names a remedy
    And the router still follows the table

    Examples:
      | step          | used              |
      | decoded       | lm-1,app-1        |
      | put in use    | lm-1,app-1        |
      | sent to peers | lm-1,lm-odd,app-1 |
      | announced     | lm-1,lm-odd,app-1 |

  Scenario Outline: A message of another router with <what> is rejected, and gossip goes on
    Guards against a router whose gossip, or whose choice of an endpoint, fails because of a value
    in a message that is far outside its range.

    Given two routers that know an endpoint, and the log of the first
    When the first receives a status of the second with <what>
    Then it rejects the message and names a remedy
    And both routers still exchange messages
    And the first can choose an endpoint

    Examples:
      | what                                |
      | a load of -1 requests               |
      | a load of 400 digits                |
      | prompt tokens of 400 digits         |
      | failures of 400 digits              |
      | a prefix of 400 digits              |
      | a prefix ready in 400 digits        |
      | a table version of 400 digits       |
      | a weights version of 400 digits     |
      | a target requested 400 digits ago   |
      | an epoch of 400 digits              |
      | a lease version of 400 digits       |
      | a start of 400 digits               |
      | a CPU capacity that is no number    |
      | an infinite CPU capacity            |
      | a CPU capacity in a text            |
      | a peer address without a port       |
      | a kind of 5000 digits               |
      | a scope of 5000 digits              |
      | nested lists in place of its loads  |

  Scenario: An unexpected error at one message of another router affects that message only
    Guards against a peering task that restarts, and closes all its connections, at each message
    that one router repeats.

    Given two routers that know an endpoint, and the log of the first
    And an unexpected error occurs at the first for each status with suspects
    When the first receives 3 statuses with a suspect
    Then one log line tells the error and names a remedy
    And both routers still exchange messages

  Scenario Outline: A superscript digit is no number in <place>
    Guards against str.isdigit, which is true for it: int() then raises an untyped error.

    When <place> holds a superscript digit
    Then it is rejected with a typed error

    Examples:
      | place                            |
      | the address of an endpoint       |
      | the address in a flag            |
      | the address of the table service |
      | a Content-Length                 |

  Scenario Outline: One odd row of the VM list <what> stops neither the use of the sound ones nor the polls
    Guards against a watcher that fails at one row, and so learns of no VM that leaves.

    Given a router that polls the VM list
    When a VM's row <what> is listed between two sound ones
    Then the router knows the two sound VMs only
    And one log line in 10 polls tells of the malformed row and names a remedy
    And the router still follows the VM list

    Examples:
      | what                            |
      | without a name                  |
      | that is a number                |
      | with a name of 5000 digits      |
      | with a name of a megabyte       |
      | with a state that is a text     |
      | with port 70000                 |
      | with peer port 70000            |
      | with a peer port of 5000 digits |
      | with a tagged data centre       |
      | with a role that is nested      |

  Scenario Outline: A VM list that is <what> counts as a failed poll
    Guards against a watcher that fails and is started again and again.

    Given a router that polls the VM list
    When the VM list is <what>
    Then the router keeps the VMs that it knew
    And the router still follows the VM list

    Examples:
      | what                   |
      | empty                  |
      | no CBOR                |
      | a number               |
      | nested in 900 lists    |
      | nested in 100000 lists |

  Scenario Outline: A message in the mesh with <what> is rejected, and gossip goes on
    Guards against a mesh task that fails at a value, or keeps it and passes it on.

    Given a router in the mesh that knows another one
    When it receives <message> with <what>
    Then one log line in 10 copies rejects the message and names a remedy
    And it keeps no odd value, and still answers the other one

    Examples:
      | message          | what                            |
      | a ping           | a port of 70000                 |
      | a ping           | a port with a superscript digit |
      | a ping           | an address without a port       |
      | a ping           | an incarnation of 5000 digits   |
      | a ping           | an incarnation of -1            |
      | a ping           | a member that is a tagged set   |
      | a ping           | a sequence of 300 digits        |
      | a ping           | a version of 5000 digits        |
      | a ping request   | a target without a port         |
      | a config request | a known version of -1           |
      | a demand         | a rate that is no number        |
      | a demand         | an infinite rate                |
      | a demand         | a rate in a text                |
      | a grant          | a share of 0                    |
      | a grant          | a share of 1e300                |
      | a grant          | a share that is no number       |
      | a grant          | an infinite duration            |
      | VM changes       | a VM with port 70000            |
      | VM changes       | a list nested in 900 lists      |
      | VM changes       | a list that contains itself     |

  Scenario: An unexpected error at one message in the mesh affects that message only
    Guards against a mesh task that restarts, and closes all its connections, at each message that
    one router repeats.

    Given a router in the mesh that knows another one
    And an unexpected error occurs at it for each demand
    When it receives 3 demands
    Then one log line tells the error and names a remedy
    And it keeps no odd value, and still answers the other one

  Scenario Outline: A config row <what> leaves the configuration in force, and the polls go on
    Guards against a poll that ends at an untyped error: the router then never polled again.

    Given a router that polls the configuration, with version 1 in force
    When another writer leaves <row> <what>
    Then the router keeps version 1
    And one log line in 10 polls tells of the config row and names a remedy
    And it applies version 3 once the rows are sound

    Examples:
      | row             | what                       |
      | the head row    | that is empty              |
      | the head row    | with a version of 5000 digits |
      | the head row    | with a version of -5       |
      | the head row    | with a text                |
      | the head row    | nested in 900 lists        |
      | the head row    | nested in 100000 lists     |
      | the history row | that is empty              |
      | the history row | without a summary          |
      | the history row | of a much later version    |
      | the history row | with a version of 5000 digits |
      | the history row | with a tagged document     |

  Scenario: One odd row of the configuration's history does not hide the others
    Given a router that polls the configuration, with version 1 in force
    When another writer leaves the history row without a summary
    Then the history shows version 1 only

  Scenario Outline: The state of an engine <what> is rejected, and the polls go on
    Guards against a dispatcher that fails at each choice of an endpoint, and against a poll that
    fails, because of one value in the state of one engine.

    Given a router that polls an engine
    When the engine reports a state <what>
    Then one log line in 10 polls rejects the state and names a remedy
    And the router still chooses an endpoint
    And it takes the next sound state

    Examples:
      | what                               |
      | with 400 digits of waiting         |
      | with -1 running                    |
      | with 1e400 running                 |
      | with events up to infinity         |
      | with a lone surrogate in its role  |
      | with a nested incarnation          |
      | with a key of 5000 digits          |
      | without its events                 |
      | with 5000 digits of waiting        |
      | nested in 900 lists                |
      | nested in 100000 lists             |
      | that is empty                      |

  Scenario Outline: A claim's row <what> stops neither the sweep nor the writes of other claims
    Guards against a shard that is never swept, writes that are never retried, and requests that end
    with a fault of the router, because of one row.

    Given a claim's row <what> beside an expired one in the same shard
    When all shards are swept
    Then the response of the expired one is removed
    And a request with the key of the odd row gets a typed error and does not run
    And the writes that wait behind one of the odd row are carried out
    And one log line of each task names the odd row and a remedy

    Examples:
      | what                           |
      | that is empty                  |
      | that is a number               |
      | with an unknown state          |
      | with a start that is no number |
      | with a start of 5000 digits    |
      | with a start in a text         |
      | with a nonce that is tagged    |
      | with a status of 5000 digits   |
      | with a part that is a text     |
      | with a line break in its type  |
      | without its last field         |
      | nested in 900 lists            |
      | nested in 100000 lists         |

  Scenario Outline: A verdict's row <what> is left out, and the others are taken
    Guards against a gateway that never loads the verdicts after its start because of one row.

    Given a gateway that starts, with a verdict's row <what> beside a sound one
    When it loads the verdicts and writes one whose row is the odd one
    Then the sound verdict is in force, and the odd row is replaced
    And one log line of a verdict's row names a remedy

    Examples:
      | what                         |
      | that is empty                |
      | that is a number             |
      | with a term of 300 digits    |
      | with a term of 5000 digits   |
      | with a term that is no number |
      | with a decision of 300 digits |
      | with members in a text       |
      | with tagged members          |
      | with a cause that is nested  |
      | without its term             |
      | nested in 900 lists          |
      | nested in 100000 lists       |

  Scenario Outline: An operator's request for <path> is refused as invalid
    Guards against a fault of the router, and against str.isdigit, at numbers that int() rejects.

    When an operator requests <path>
    Then it is rejected with a typed error

    Examples:
      | path                       |
      | a history of 5000 digits   |
      | a history of -1            |
      | a history of a superscript |
      | version 5000 digits        |
      | version superscript        |
      | version -1                 |
      | a change with 1e400        |
      | a change nested deeply     |
      | a change that is a list    |
      | a change with a surrogate  |
      | ctl version superscript    |
      | ctl version 5000 digits    |
      | ctl expect superscript     |
