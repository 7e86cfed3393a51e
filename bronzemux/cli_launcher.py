"""Script that starts a gateway on the users' platform: ``python3 -S bronzemux/cli_launcher.py``.

A SIGHUP ends a process that has no handler for it. Until this script ignores the signal it imports
nothing, and the interpreter neither searches for packages (``-S``) nor for a module to run
(``-m``), so that only the start of the interpreter itself is left.
"""

# The module `signal` would first import `enum` and all that this needs.
import _signal

# The settings are read only after the start.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import os
import sys

# The folder of a script is the first on its path; that of the package belongs there.
sys.path[0] = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

from bronzemux import cli_gateway

if __name__ == "__main__":
    cli_gateway.main()
