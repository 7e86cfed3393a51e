#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 need Python 3.11 and its standard library only: check that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins_2.py config_change_2.py deadly_part_2.py {6,7,8,9,10}/case.py
