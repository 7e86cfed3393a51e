"""Steps of processes.feature for routers that are paused during orders and filings."""

import signal

import cbor2
import gevent
from behave import given, then, when

from bronzemux import claim_rows
from features import support
from features.steps import claims_steps, processes_steps, rollout_steps, streams_steps

IDEMPOTENCY_KEY = "paused-1"
LEASE_SECONDS = 9.0  # the default of --lease_seconds, with which the processes run
SEND_DELAY_SECONDS = 0.3  # for the router to send the filing after it wrote the claim
ROLLOUT_TIMEOUT_SECONDS = 90.0
BODY = b'{"a":1}'


def lease_holder(context, data_centre: str) -> str:
    """Return the router that holds the rollout lease of a data centre, empty for none."""
    key = f"lease/rollout/{rollout_steps.MODEL}/{data_centre}"
    row = context.deployment.platform.table.rows.get(key)
    return cbor2.loads(row.value).partition("@")[0] if row else ""


def pause(context, name: str) -> None:
    """Pause a process and store it in the context."""
    context.paused = context.processes[int(name.removeprefix("vm-")) - 1]
    context.paused_name = name
    context.paused.popen.send_signal(signal.SIGSTOP)


@when(
    'the process that holds the rollout lease of "{data_centre}" is paused during its first order'
    ' of version "{version}"'
)
def step_pause_lease_holder(context, data_centre, version):
    assert context.status == 0, context.output
    engines = [
        context.deployment.engines[endpoint.name]
        for endpoint in context.deployment.document.endpoints
        if endpoint.data_centre == data_centre and endpoint.kind == "model"
    ]

    def is_ordered() -> bool:
        # Other orders, of the adapters, precede the rollout, and may have ended before it starts.
        return any(order.weights_version == version for e in engines for order in e.orders)

    streams_steps.wait_for(is_ordered, ROLLOUT_TIMEOUT_SECONDS)
    pause(context, lease_holder(context, data_centre))


@then('another process acquires the rollout lease of "{data_centre}"')
def step_taken_over(context, data_centre):
    streams_steps.wait_for(
        lambda: lease_holder(context, data_centre) not in ("", context.paused_name),
        ROLLOUT_TIMEOUT_SECONDS,
    )


@then('every engine has version "{version}" and it is in force')
def step_everywhere(context, version):
    streams_steps.wait_for(
        lambda: rollout_steps.versions(context) == {version}
        and rollout_steps.in_force(context) == version,
        ROLLOUT_TIMEOUT_SECONDS,
    )


@when("the paused process resumes")
def step_resume(context):
    context.paused.popen.send_signal(signal.SIGCONT)


@then('every engine still has version "{version}" {seconds:d} seconds later')
def step_still(context, version, seconds):
    gevent.sleep(seconds)
    assert rollout_steps.versions(context) == {version}


@then("no engine accepted an order with a lower fencing token after a higher one")
def step_tokens(context):
    for name, engine in context.deployment.engines.items():
        tokens = [order.fencing_token for order in engine.orders]
        assert tokens == sorted(tokens), (name, tokens)


@given("case services of the processes take {seconds:g} second")
def step_slow_services(context, seconds):
    for service in claims_steps.services(context):
        service.work_seconds = seconds


def file_at(context, process: processes_steps.Process):
    """Send the filing through a process and return the response."""
    headers = {"Idempotency-Key": IDEMPOTENCY_KEY, "Content-Type": "application/json"}
    key = context.deployment.key("caseworkers")
    return support.send(process.address, "POST", claims_steps.FILING, key, BODY, headers)


@when("process 1 is paused past every lease while a filing runs through it")
def step_pause_filing(context):
    context.filing = gevent.spawn(file_at, context, context.processes[0])
    rows = context.deployment.platform.table.rows
    streams_steps.wait_for(lambda: any(key.startswith(claim_rows.KEY_PREFIX) for key in rows))
    gevent.sleep(SEND_DELAY_SECONDS)
    pause(context, "vm-1")
    processes_steps.step_dead(context, 2, "vm-1")
    gevent.sleep(LEASE_SECONDS)


def outcome_at(context, process: processes_steps.Process) -> str:
    """Retry the filing through a process and return the outcome that it reports."""
    reply = file_at(context, process)
    return {key.lower(): value for key, value in reply.headers.items()}["x-outcome"]


@then('a retry through process {number:d} reports the outcome "{outcome}"')
def step_outcome(context, number, outcome):
    assert outcome_at(context, context.processes[number - 1]) == outcome


@then('a retry through process {number:d} eventually reports the outcome "{outcome}"')
def step_eventual_outcome(context, number, outcome):
    process = context.processes[number - 1]
    streams_steps.wait_for(lambda: outcome_at(context, process) == outcome)
