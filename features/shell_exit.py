"""Program that pauses a process until after the exit of the shell that started this program.

Run as `python -m features.shell_exit FILE`. It creates the file once the process is paused, and
after the exit of the shell writes to standard output, as JSON, what became of the process.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import json
import os
import pathlib
import signal
import sys

import gevent

from features import ports
from features.steps import processes_steps, streams_steps

# From the exit of the shell until the state of the paused process is read.
AFTER_EXIT_SECONDS = 0.5
STOPPED_STATE = "T"


def state_of(pid: int) -> str:
    """Return the state of a process as the system abbreviates it, empty when it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    except OSError:
        return ""
    return text.rpartition(")")[2].split()[0]


def main(path: str) -> None:
    """Pause a process until after the exit of the shell, and write what became of it."""
    shell = os.getppid()
    process = processes_steps.Process(1, ports.free_port(), [])
    try:
        streams_steps.wait_for(process.status)
        process.popen.send_signal(signal.SIGSTOP)
        streams_steps.wait_for(lambda: state_of(process.popen.pid) == STOPPED_STATE)
        pathlib.Path(path).touch()
        streams_steps.wait_for(lambda: os.getppid() != shell)
        gevent.sleep(AFTER_EXIT_SECONDS)
        state = state_of(process.popen.pid)
        process.popen.send_signal(signal.SIGCONT)
        status = process.status()
        found = {"state": state, "exit_status": process.popen.poll(), "status": status}
        print(json.dumps(found))
    finally:
        process.end()


if __name__ == "__main__":
    main(sys.argv[1])
