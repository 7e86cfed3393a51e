"""Steps of ctl.feature."""

import json
import os
import pathlib
import shlex
import sys

from behave import then, when
from gevent import subprocess

from bronzemux import clock, config_edit, config_store, porcelain
from features import support
from features.steps import streams_steps

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMAND_TIMEOUT_SECONDS = 20


def run(context, words: list[str]) -> None:
    """Run bronzemux-ctl in a process and store its output and exit status in the context."""
    command = [sys.executable, "-m", "bronzemux.cli_ctl", *words]
    environment = {k: v for k, v in os.environ.items() if not k.startswith("BRONZEMUX_")}
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    output, _ = process.communicate(timeout=COMMAND_TIMEOUT_SECONDS)
    context.output = output.decode()
    context.status = process.returncode


@when('operator "{operator}" runs "{command}"')
def step_run(context, operator, command):
    address = context.deployment.base_url()
    key = f"demo-centre-operator-{operator}"
    run(context, [*shlex.split(command), f"--router={address}", f"--operator_key={key}"])


@when('the command "{command}" is run against the table service')
def step_run_directly(context, command):
    port = context.deployment.platform.port
    run(context, [*shlex.split(command), f"--platform=127.0.0.1:{port}"])


@then("the command succeeds")
def step_succeeds(context):
    assert context.status == 0, context.output


@then('the command exits with {status:d} and prints "{text}"')
def step_exits(context, status, text):
    assert context.status == status, (context.status, context.output)
    assert text in context.output, context.output


@then('every router has version {version:d} and preset "{preset}" in force')
def step_in_force(context, version, preset):
    def is_in_force() -> bool:
        found = [item.status.snapshot for item in context.deployment.routers]
        return all(s.version == version and s.preset.name == preset for s in found)

    streams_steps.wait_for(is_in_force)


def availability(context, name: str) -> list[bool]:
    """Return for each router whether it assigns requests to an endpoint."""
    result = []
    for item in context.deployment.routers:
        fleet = item.dispatcher.fleet
        result.append(fleet.is_available(fleet.states[name], item.clock.monotonic()))
    return result


@then('no router assigns requests to "{name}"')
def step_drained(context, name):
    assert context.status == 0, context.output
    streams_steps.wait_for(lambda: not any(availability(context, name)))


@then('every router assigns requests to "{name}"')
def step_undrained(context, name):
    assert context.status == 0, context.output
    streams_steps.wait_for(lambda: all(availability(context, name)))


@then('requests of team "{team}" succeed with its old and its new key')
def step_keys(context, team):
    assert context.status == 0, context.output
    keys = [context.deployment.key(team), json.loads(context.output)["key"]]
    address = support.router_address(context.deployment)

    def statuses() -> set[int]:
        return {support.send(address, "GET", "/v1/models", key).status for key in keys}

    streams_steps.wait_for(lambda: statuses() == {200})


def direct_edit(context, preset: str):
    """Put a preset in force through the table service."""
    store = config_store.ConfigStore(context.deployment.platform.table, clock.SystemClock())
    return porcelain.edit_config(store, config_edit.set_preset(preset), "test", preset)
