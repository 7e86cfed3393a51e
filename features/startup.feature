Feature: Start of a gateway
  A restarted VM serves callers again only when its gateway has started, and its CPU capacity may be
  a tenth of a core. The work of a start is counted rather than timed, so that the result is the
  same on any machine.

  Scenario: Load pattern "all VMs restart": a start stays within its budget of files and generated code
    When the modules of a gateway are imported in a new process
    Then at most 400 files are opened
    And at most 300 pieces of code are compiled
    And at most 455 modules are loaded

  Scenario: No module of the router that has its own interface is loaded by a gateway
    When the modules of a gateway are imported in a new process
    Then none of these modules is loaded
      | module               |
      | bronzemux.wire       |
      | bronzemux.vms        |
      | bronzemux.membership |
      | bronzemux.dispatcher |

  # Guards against a SIGHUP that ends a gateway while packages and modules are still being searched.
  Scenario: Until it ignores SIGHUP, the start of a gateway is that of the interpreter alone
    Given the command of the deploy file that starts a gateway
    Then it runs a script, without a search for packages or for a module
    When its script runs to the end of its imports
    Then it imported no module before it ignored SIGHUP
