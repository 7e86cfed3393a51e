"""Steps of software_versions.feature."""

import json
import time

import gevent
from behave import given, then, when

from bronzemux import completion, http_client, standin_engine, standin_response
from features import support
from features.steps import callers_steps, streams_steps

PROMPT = callers_steps.chat(
    messages=[
        {"role": "system", "content": support.LONG_TEXT},
        {"role": "user", "content": "What is the deadline?"},
    ]
)
DATA_PREFIX = b"data: "
DONE = b"[DONE]"
SOFTWARE = {"none": ""}


def find_engine(context) -> standin_engine.StandinEngine:
    """Return the engine to which the prompt is sent, once it has it in its cache."""
    address = support.router_address(context.deployment)
    key = context.deployment.key("caseworkers")
    reply = support.send(address, "POST", callers_steps.CHAT, key, PROMPT)
    assert reply.status == 200, reply
    return context.deployment.engines[context.deployment.executions()[-1].endpoint]


@given('the engine of a prompt and {count:d} more run software "{software}", all others "{other}"')
def step_layout(context, count, software, other):
    context.engine = find_engine(context)
    others = [item for item in streams_steps.engines(context) if item is not context.engine]
    context.alike = others[:count]
    for item in streams_steps.engines(context):
        item.software = SOFTWARE.get(other, other)
    for item in (context.engine, *context.alike):
        item.software = SOFTWARE.get(software, software)
    context.earlier_executions = context.deployment.executions()
    streams_steps.wait_for(lambda: is_known(context))


def find_executions(context) -> list[standin_engine.Execution]:
    """Return the executions since the software of the engines was set."""
    found = context.deployment.executions()
    return [item for item in found if item not in context.earlier_executions]


def is_known(context) -> bool:
    """Return whether all routers know the software of all engines."""
    states = [r.dispatcher.fleet.states for r in context.deployment.routers]
    engines = streams_steps.engines(context)
    return all(s[item.settings.name].software == item.software for s in states for item in engines)


@given("the engine of the prompt will {fault}")
def step_fault(context, fault):
    if fault == "stay silent after 5 parts":
        context.engine.faults.mute_after_parts = 5
        context.engine.mute_open_connections = lambda: mute_all_connections(context.engine)
        return
    for name, value in streams_steps.FAULTS[fault]:
        setattr(context.engine.faults, name, value)


def mute_all_connections(engine) -> None:
    """Send no more parts, on new connections neither."""
    engine.server.is_muted = lambda environ: True


@given("the other engine refuses requests and asks for a pause of {seconds:d} seconds")
def step_pause(context, seconds):
    faults = context.alike[0].faults
    faults.refuses, faults.retry_after = True, str(seconds)


def run_beside(context, function) -> None:
    """Run a function beside the steps, at most until the end of the scenario."""
    context.cleanups.append(gevent.spawn(function).kill)


@given("the other engine refuses requests for {seconds:g} seconds after its first refusal")
def step_refuse_for_a_while(context, seconds):
    faults = context.alike[0].faults
    faults.refuses = True

    def accept() -> None:
        streams_steps.wait_for(lambda: faults.refused_at)
        gevent.sleep(seconds)
        faults.refuses = False

    run_beside(context, accept)


@given("the other engine crashes {seconds:d} second after it refused a request")
def step_crash_after_refusal(context, seconds):
    def crash() -> None:
        streams_steps.wait_for(lambda: context.alike[0].faults.refused_at)
        gevent.sleep(seconds)
        context.alike[0].crash()

    run_beside(context, crash)


@given("all other engines have crashed")
def step_others_crash(context):
    others = [item for item in streams_steps.engines(context) if item is not context.engine]
    for item in others:
        item.crash()
    streams_steps.wait_for(
        lambda: not any(streams_steps.is_available(context, item) for item in others)
    )


@given('the engine of the prompt restarts with "{software}" {seconds:d} second after its crash')
def step_restart_later(context, software, seconds):
    def restart() -> None:
        streams_steps.wait_for(lambda: not context.engine.is_up)
        gevent.sleep(seconds)
        context.engine.software = software
        context.engine.restart()

    run_beside(context, restart)


@given("reports of engines reach the routers {seconds:g} seconds late")
def step_late_reports(context, seconds):
    for router in context.deployment.routers:
        for client in router.engines.engines.values():
            client.state = delayed(client.state, seconds)


def delayed(read_state, seconds: float):
    """Return a function that reads the state of an engine, and returns it later."""

    def read(after):
        state = read_state(after)
        gevent.sleep(seconds)
        return state

    return read


@given('{count:d} other engine of software "{software}" restarts with "{other}" during the stream')
def step_restart_during_stream(context, count, software, other):
    def restart() -> None:
        streams_steps.wait_for(lambda: find_executions(context))
        for item in context.alike[:count]:
            assert item.software == software
            restart_with(item, other)

    run_beside(context, restart)


def restart_with(engine: standin_engine.StandinEngine, software: str) -> None:
    """Restart an engine under its name and address with another software version."""
    engine.crash()
    engine.software = software
    engine.restart()


@when("the prompt is streamed")
def step_stream(context):
    connection = callers_steps.open_connection(context)
    key = context.deployment.key("caseworkers")
    headers = {"Authorization": f"Bearer {key}"}
    body = json.dumps(json.loads(PROMPT) | {"stream": True, "max_tokens": 16}).encode()
    started = time.monotonic()
    connection.send("POST", callers_steps.CHAT, headers, body)
    assert connection.receive("POST").status_code == 200
    events = http_client.iter_events(iter(connection.read, b""))
    lines = [line for event in events for line in event.splitlines()]
    context.payloads = [line.removeprefix(DATA_PREFIX) for line in lines if DATA_PREFIX in line]
    context.seconds = time.monotonic() - started
    connection.close()


@when("the prompt is sent, and the response is not streamed")
def step_send_whole(context):
    address = support.router_address(context.deployment)
    key = context.deployment.key("caseworkers")
    context.reply = support.send(address, "POST", callers_steps.CHAT, key, PROMPT)


@then('the whole text was written by software "{software}"')
def step_whole(context, software):
    assert context.reply.status == 200, context.reply
    text = context.reply.json()["choices"][0]["message"]["content"]
    assert standin_response.is_complete_response(text, 16), text
    assert standin_response.software_of(text) == software, text


def streamed_text(context) -> str:
    """Return the text that the caller received; it must be the beginning of one response."""
    text = completion.joined_text(context.payloads)
    assert standin_response.is_beginning(text), text
    return text


@then("the streamed text is complete")
def step_complete(context):
    text = streamed_text(context)
    assert standin_response.is_complete_response(text, 16), context.payloads[-1]


@then('the stream ends with the error "{kind}" after at most {seconds:d} seconds')
def step_error(context, kind, seconds):
    text = streamed_text(context)
    assert text, context.payloads
    assert json.loads(context.payloads[-1])["error"]["type"] == kind, context.payloads[-1]
    assert context.seconds <= seconds, context.seconds


@then('only engines of software "{software}" ran it, {count:d} of them')
def step_only(context, software, count):
    executions = find_executions(context)
    found = {
        item.endpoint: context.deployment.engines[item.endpoint].software for item in executions
    }
    assert set(found.values()) == {SOFTWARE.get(software, software)}, found
    assert len(found) == count, found


@then("no other engine was ejected or tried more than twice, and none still runs the request")
def step_not_ejected(context):
    states = context.deployment.routers[0].dispatcher.fleet.states
    failures = {name: state.failures for name, state in states.items() if state.failures}
    assert set(failures) <= {context.engine.settings.name}, failures
    streams_steps.wait_for(lambda: not any(item.running for item in context.alike))
    jobs = [job for item in context.alike for job in item.jobs.values()]
    assert 1 <= len(jobs) <= 2 and all(job.is_cancelled or job.is_done for job in jobs), jobs


@when("all routers are restarted")
def step_restart_routers(context):
    deployment = context.deployment
    for position in range(len(deployment.routers)):
        deployment.crash_router(position)
    for position in range(len(deployment.routers)):
        deployment.start_router(position)
    deployment.wait_ready()


@when(
    'the engine that runs the stream restarts with software "{software}" '
    "and the jobs of its predecessor"
)
def step_restart_running(context, software):
    name = find_executions(context)[-1].endpoint
    engine = context.deployment.engines[name]
    jobs = engine.jobs
    restart_with(engine, software)
    engine.jobs.update(jobs)
    for job in jobs.values():
        job.append(DONE)
