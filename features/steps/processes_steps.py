"""Steps of processes.feature."""

import ctypes
import json
import os
import signal
import sys
import tempfile

import gevent
from behave import given, then, when
from gevent import subprocess

from bronzemux import clock as clocks
from bronzemux import config_store, engine_http, errors, http_client, standin_response, vms
from features import link, ports, support
from features.steps import callers_steps, ctl_steps, streams_steps

DATA_CENTRES = ("tbilisi-1", "tbilisi-2", "tbilisi-3")
EXIT_TIMEOUT_SECONDS = 30.0
SHELL_TIMEOUT_SECONDS = 60.0
# Starts tests as a job and exits once a file exists.
SHELL_SCRIPT = """
set -m
"$0" -m features.shell_exit "$1" &
until [ -e "$1" ]; do sleep 0.1; done
"""
SECOND_SIGNAL_DELAY_SECONDS = 0.5
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1
# Lines of the log of a process that a failed step prints.
LOG_LINES = 30


def end_with_parent() -> None:
    """Let the system kill this process when its parent ends, also without its cleanups."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One bronzemux-router process, in a process group of its own.

    Args:
      number: Number of the process and of its VM, from 1.
      platform_port: TCP port of the platform's services.
      peers: Peer addresses of routers to contact while the platform is down.
      has_link: Whether other routers reach it through an interruptible link.
    """

    def __init__(self, number: int, platform_port: int, peers: list[str], has_link: bool = False):
        self.port, self.peer_port = ports.free_port(), ports.free_port()
        self.link = link.Link(self.peer_port) if has_link else None
        self.peer_address = self.link.address if self.link else f"127.0.0.1:{self.peer_port}"
        self.log = tempfile.TemporaryFile()  # noqa: SIM115 - stays open while the process runs
        arguments = [
            f"--name=vm-{number}",
            f"--data_centre={DATA_CENTRES[number % 3]}",
            f"--port={self.port}",
            f"--peer_port={self.peer_port}",
            f"--advertised_peer_address={self.peer_address}",
            f"--platform_port={platform_port}",
            f"--peers={','.join(peers)}",
            "--mesh_keys=development-only",
            "--drain_seconds=4",
            "--progress_seconds=2",
        ]
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "bronzemux.cli_router", *arguments],
            cwd=ctl_steps.ROOT,
            env={k: v for k, v in os.environ.items() if not k.startswith("BRONZEMUX_")},
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
            # When the shell that started the tests exits, the system sends SIGHUP and SIGCONT to
            # the stopped processes of the tests' group.
            process_group=0,
            preexec_fn=end_with_parent,
        )

    @property
    def address(self) -> str:
        """Return the IP address and port that callers connect to."""
        return f"127.0.0.1:{self.port}"

    def end(self) -> None:
        """Kill the process if it is running, and close its link."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()
        if self.link is not None:
            self.link.close()

    def read_log(self) -> str:
        """Return what the process has logged."""
        # Not a seek, which would move the position at which the process writes.
        size = os.fstat(self.log.fileno()).st_size
        return os.pread(self.log.fileno(), size, 0).decode(errors="replace")

    def status(self) -> dict:
        """Return the status that the router reports, empty when it does not respond."""
        try:
            return support.send(self.address, "GET", "/status").json()
        except (errors.EndpointError, ValueError):
            return {}


def start(context, number: int, has_link: bool = False) -> None:
    """Start a process and add its VM to the VM list."""
    peers = [process.peer_address for process in context.processes]
    process = Process(number, context.deployment.platform.port, peers, has_link)
    context.cleanups.append(process.end)
    context.processes.append(process)
    name = f"vm-{number}"
    context.deployment.platform.vms.vms[name] = vms.Vm(
        name,
        DATA_CENTRES[number % 3],
        process.address,
        "router",
        peer_address=process.peer_address,
    )


def is_ready(process: Process) -> bool:
    """Return whether a router has polled all engines."""
    endpoints = process.status().get("endpoints", [])
    engines = [item for item in endpoints if item["name"].startswith("worker")]
    return bool(engines) and all(item["incarnation"] for item in engines)


@given('stand-ins of "{name}" and {count:d} router processes with interruptible links')
def step_start_linked(context, name, count):
    start_all(context, name, count, True)


@given('stand-ins of "{name}" and {count:d} router processes')
def step_start(context, name, count):
    start_all(context, name, count, False)


def start_all(context, name: str, count: int, has_links: bool) -> None:
    """Start stand-ins and processes, and wait until each process knows all others."""
    support.start_development(context, name, routers=0)
    context.processes = []
    for number in range(1, count + 1):
        start(context, number, has_links)
    streams_steps.wait_for(lambda: all(map(is_ready, context.processes)))
    streams_steps.wait_for(
        lambda: all(len(p.status()["members"]) == count for p in context.processes)
    )


@when('operator "{operator}" runs "{command}" at process {number:d}')
def step_operate(context, operator, command, number):
    process = context.processes[number - 1]
    arguments = [f"--router={process.address}", f"--operator_key=demo-centre-operator-{operator}"]
    ctl_steps.run(context, [*command.split(), *arguments])
    assert context.status == 0, context.output


def wait_version(context, processes, version: int, preset: str) -> None:
    """Wait until all given processes report a version and preset."""

    def is_in_force() -> bool:
        found = [process.status() for process in processes]
        return all(s.get("version") == version and s.get("preset") == preset for s in found)

    try:
        streams_steps.wait_for(is_in_force)
    except TimeoutError as error:
        raise AssertionError(f"{error}\n{describe_versions(context)}") from error


def describe_versions(context) -> str:
    """Return the changes that the table service holds, and what each process reports and logged."""
    store = config_store.ConfigStore(context.deployment.platform.table, clocks.SystemClock())
    lines = [f"accepted {h.version} at {h.at} {h.operator}: {h.summary}" for h in store.history()]
    for number, process in enumerate(context.processes, 1):
        status = process.status()
        lines.append(
            f"process {number}, exit status {process.popen.poll()}, reports version "
            f"{status.get('version')}, preset {status.get('preset')}, "
            f"members {status.get('members')}; end of its log:"
        )
        lines += process.read_log().splitlines()[-LOG_LINES:]
    return "\n".join(lines)


@then('all processes report version {version:d} and preset "{preset}"')
def step_all_report(context, version, preset):
    wait_version(context, context.processes, version, preset)


@then('all processes except {number:d} report version {version:d} and preset "{preset}"')
def step_others_report(context, number, version, preset):
    others = [p for n, p in enumerate(context.processes, 1) if n != number]
    wait_version(context, others, version, preset)


@when("process {number:d} is killed")
def step_kill(context, number):
    context.processes[number - 1].end()


def state_of(process: Process, name: str) -> str:
    """Return the state of a member as a process reports it, "unknown" if it reports none."""
    members = {m["name"]: m["state"] for m in process.status().get("members", [])}
    return members.get(name, "unknown")


@then('process {number:d} considers "{name}" dead')
def step_dead(context, number, name):
    process = context.processes[number - 1]
    streams_steps.wait_for(lambda: state_of(process, name) == "dead")


@then("a chat request through process {number:d} returns a complete response")
def step_chat(context, number):
    process = context.processes[number - 1]
    streams_steps.wait_for(lambda: is_ready(process))
    key = context.deployment.key("caseworkers")
    body = callers_steps.chat(max_tokens=16)
    reply = support.send(process.address, "POST", callers_steps.CHAT, key, body)
    assert reply.status == 200, reply
    text = reply.json()["choices"][0]["message"]["content"]
    assert standin_response.is_complete_response(text, 16), text


@when("all links drop traffic")
def step_drop_traffic(context):
    for process in context.processes:
        process.link.is_dropping = True


@when("all links forward traffic again")
def step_forward_traffic(context):
    for process in context.processes:
        process.link.is_dropping = False


@then("every process considers all others {state}")
def step_all_states(context, state):
    names = {f"vm-{number}" for number in range(1, len(context.processes) + 1)}

    def has_states() -> bool:
        return all(
            state_of(process, name) == state
            for number, process in enumerate(context.processes, 1)
            for name in names - {f"vm-{number}"}
        )

    streams_steps.wait_for(has_states)


@then("a chat request through each process returns a complete response")
def step_chat_each(context):
    for number in range(1, len(context.processes) + 1):
        step_chat(context, number)


@when("the platform goes down permanently and process {number:d} is restarted")
def step_restart(context, number):
    context.deployment.platform.faults.is_down = True
    context.processes.pop(number - 1).end()
    start(context, number, True)


@when('process {number:d} is paused until process {other:d} considers "{name}" dead')
def step_pause(context, number, other, name):
    context.processes[number - 1].popen.send_signal(signal.SIGSTOP)
    step_dead(context, other, name)


@when("a shell starts tests that pause a process, and exits during the pause")
def step_shell_exits(context):
    with tempfile.TemporaryDirectory() as folder:
        command = ["bash", "-c", SHELL_SCRIPT, sys.executable, f"{folder}/paused"]
        shell = subprocess.Popen(
            command, cwd=ctl_steps.ROOT, start_new_session=True, stdout=subprocess.PIPE
        )
        output, _ = shell.communicate(timeout=SHELL_TIMEOUT_SECONDS)
    context.found = json.loads(output)


@then("the process was still paused, and responded when it resumed")
def step_still_paused(context):
    found = context.found
    assert found["state"] == "T" and found["exit_status"] is None, found
    assert found["status"], found


@when("process {number:d} resumes")
def step_resume(context, number):
    context.processes[number - 1].popen.send_signal(signal.SIGCONT)


def read_stream(address: str, key: str, count: int) -> str:
    """Return the text of a stream, up to the point where the connection failed if it did."""
    timeouts = http_client.Timeouts(2.0, 10.0)
    host, _, port = address.rpartition(":")
    connection = http_client.Connection(host, int(port), timeouts)
    body = callers_steps.chat(stream=True, max_tokens=count)
    connection.send("POST", callers_steps.CHAT, {"Authorization": f"Bearer {key}"}, body)
    connection.receive("POST")
    text = ""
    try:
        for event in http_client.iter_events(iter(connection.read, b"")):
            data = engine_http.decode_event(event).data
            if data != b"[DONE]":
                text += json.loads(data)["choices"][0]["delta"].get("content") or ""
    except errors.EndpointError:
        return text
    finally:
        connection.close()
    return text


@when("process {number:d} gets SIGTERM during a stream of {count:d} words")
def step_terminate(context, count, number):
    process = context.processes[number - 1]
    key = context.deployment.key("caseworkers")
    reader = gevent.spawn(read_stream, process.address, key, count)
    streams_steps.wait_for(lambda: process.status().get("in_flight") == 1)
    process.popen.send_signal(signal.SIGTERM)
    context.count = count
    context.stream = reader.get()


@when("process {number:d} gets SIGTERM twice during a stream of {count:d} words")
def step_terminate_twice(context, count, number):
    process = context.processes[number - 1]
    reader = gevent.spawn(
        read_stream, process.address, context.deployment.key("caseworkers"), count
    )
    streams_steps.wait_for(lambda: process.status().get("in_flight") == 1)
    process.popen.send_signal(signal.SIGTERM)
    gevent.sleep(SECOND_SIGNAL_DELAY_SECONDS)
    process.popen.send_signal(signal.SIGTERM)
    reader.get()


@then("the stream is complete")
def step_complete(context):
    assert standin_response.is_complete_response(context.stream, context.count), context.stream


@then("process {number:d} exits with {status:d}")
def step_exit(context, number, status):
    popen = context.processes[number - 1].popen
    with gevent.Timeout(EXIT_TIMEOUT_SECONDS, TimeoutError("the process did not exit in time")):
        assert popen.wait() == status, popen.returncode
    context.exited = context.processes[number - 1]


@then('its log contains "{text}"')
def step_log(context, text):
    assert text in context.exited.read_log(), context.exited.read_log()


@when("the platform goes down permanently and a third process starts")
def step_start_third(context):
    context.deployment.platform.faults.is_down = True
    start(context, 3)
