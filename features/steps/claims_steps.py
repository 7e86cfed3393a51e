"""Steps of claims.feature."""

import gevent
from behave import given, then, when
from gevent import event

from features import support
from features.steps import callers_steps

FILING = "/services/cases/filings"
MANY_REQUESTS = 100
FAULT_MODES = {
    "work": "ordinary",
    "refuse": "refuse",
    "crash before running": "crash_before",
    "crash after running": "crash_after",
    "go silent after running": "silent_after",
    "answer with an error": "error",
    "cut while reading": "cut_while_reading",
    "cut in the answer": "cut_in_answer",
    "answer late": "late",
    "answer another request": "crossed",
}
SUCCESS_TIMEOUT_SECONDS = 60.0


def services(context) -> list:
    """Return all stand-in services."""
    return list(context.deployment.services.values())


def submit_filing(context, team: str, key: str, position: int = 0, body: bytes = b'{"a":1}'):
    """Submit a filing through a router and return the response."""
    address = support.router_address(context.deployment, position)
    headers = {"Idempotency-Key": key, "Content-Type": "application/json"}
    return support.send(address, "POST", FILING, context.deployment.key(team), body, headers)


@given("case services will {fault}")
def step_service_fault(context, fault):
    for service in services(context):
        if fault == "refuse connections":
            service.crash()
        else:
            service.next_fault_modes = [FAULT_MODES[fault]] * 5


@given("case services {fault} requests and ask for a pause of {seconds:d} seconds")
def step_service_pause(context, fault, seconds):
    for service in services(context):
        service.next_fault_modes = [fault] * MANY_REQUESTS
        service.retry_after = str(seconds)


@when('team "{team}" looks up a status {count:d} times')
def step_look_up_often(context, team, count):
    context.statuses = []
    for _ in range(count):
        step_look_up_status(context, team)
        context.statuses.append(context.reply.status)


@then("every status is {status:d}, and no case service received two requests")
def step_received_once(context, status):
    assert set(context.statuses) == {status}, context.statuses
    counts = [MANY_REQUESTS - len(service.next_fault_modes) for service in services(context)]
    assert max(counts) == 1, counts


class CountingModes(list):
    """Fault modes shared by all services, with a count of the requests that looked them up."""

    lookups = 0

    def __bool__(self):
        self.lookups += 1
        return len(self) > 0


@given("the first case service that receives a request will {fault}")
def step_first_service_fault(context, fault):
    context.modes = CountingModes([FAULT_MODES[fault]])
    for service in services(context):
        service.next_fault_modes = context.modes


@when('team "{team}" looks up a status')
def step_look_up_status(context, team):
    address = support.router_address(context.deployment)
    key = context.deployment.key(team)
    context.reply = support.send(address, "GET", "/services/cases/status", key)


@then("the services received {count:d} requests")
def step_received_requests(context, count):
    assert context.modes.lookups == count, context.modes.lookups


@given("case services work again")
def step_service_recovers(context):
    for service in services(context):
        service.next_fault_modes = []
        if not service.is_up:
            service.start()
    gevent.sleep(1.0)


@given("case services take {seconds:g} seconds")
def step_service_slow(context, seconds):
    for service in services(context):
        service.work_seconds = seconds
    for item in context.deployment.routers:
        object.__setattr__(item.settings, "progress_seconds", 5.0)


@when('team "{team}" submits a filing with key "{key}"')
def step_submit(context, team, key):
    context.reply = submit_filing(context, team, key)


@when('team "{team}" submits a filing with key "{key}" through router {number:d}')
def step_submit_through(context, team, key, number):
    context.reply = submit_filing(context, team, key, number - 1)


@when('team "{team}" submits different content with key "{key}"')
def step_submit_different(context, team, key):
    context.reply = submit_filing(context, team, key, body=b'{"a":2}')


@when('team "{team}" submits a filing with key "{key}" until it succeeds')
def step_submit_until_success(context, team, key):
    with gevent.Timeout(
        SUCCESS_TIMEOUT_SECONDS, TimeoutError("the filing did not succeed in time")
    ):
        context.reply = submit_filing(context, team, key)
        while context.reply.status != 200:
            gevent.sleep(0.1)
            context.reply = submit_filing(context, team, key)


@then("the number of executed filings is {count:d}")
def step_executed_filings(context, count):
    filings = [filing for service in services(context) for filing in service.filings]
    assert len(filings) == count, filings


@given("the platform will {fault}")
def step_platform_fault(context, fault):
    faults = context.deployment.platform.faults
    if fault == "be down":
        faults.is_down = True
    elif fault == "let open connections go silent":
        context.deployment.platform.mute_open_connections()
    elif fault == "lose the answers of all writes":
        faults.lost_answers = 1000
    elif fault.startswith("lose"):
        faults.lost_answers = int(fault.split()[4])
    else:
        gevent.spawn(stop_platform_once_filed, context)


def stop_platform_once_filed(context) -> None:
    """Take the platform down as soon as a service has started the first filing."""
    for service in services(context):
        service.work_seconds = 0.2
    while not any(service.executions_started for service in services(context)):
        gevent.sleep(0.001)
    context.deployment.platform.faults.is_down = True


@given("the platform works again")
def step_platform_recovers(context):
    context.deployment.platform.faults.is_down = False
    context.deployment.platform.faults.lost_answers = 0


@when('team "{team}" submits a filing {count:d} times concurrently with key "{key}"')
def step_submit_concurrently(context, team, count, key):
    greenlets = [gevent.spawn(submit_filing, context, team, key, i % 2) for i in range(count)]
    gevent.joinall(greenlets, raise_error=True)
    context.replies = [greenlet.value for greenlet in greenlets]


@then("all successful responses are equal, and the others report that the request is in progress")
def step_replies(context):
    statuses = {reply.status for reply in context.replies}
    assert statuses <= {200, 409}, statuses
    assert len({reply.body for reply in context.replies if reply.status == 200}) == 1


def open_filing(context, team: str, key: str):
    """Send a filing through router 1 and return the connection, without reading the response."""
    connection = callers_steps.open_connection(context)
    headers = {
        "Authorization": f"Bearer {context.deployment.key(team)}",
        "Idempotency-Key": key,
        "Content-Type": "application/json",
    }
    connection.send("POST", FILING, headers, b'{"a":1}')
    return connection


@when('a caller of team "{team}" disconnects while its filing "{key}" runs')
def step_disconnect(context, team, key):
    connection = open_filing(context, team, key)
    gevent.sleep(0.1)
    connection.close()


@when('router 1 crashes while filing "{key}" of team "{team}" runs')
def step_crash_router(context, key, team):
    open_filing(context, team, key)
    gevent.sleep(0.1)
    context.deployment.crash_router(0)
    gevent.sleep(0.5)


@when('team "{team}" queries the outcome of "{key}"')
def step_query_outcome(context, team, key):
    address = support.router_address(context.deployment)
    token = context.deployment.key(team)
    context.reply = support.send(address, "GET", f"/v1/requests/{key}", token)


@when('team "{team}" sends a model request with key "{key}"')
def step_model_request(context, team, key):
    address = support.router_address(context.deployment)
    headers = {"Idempotency-Key": key}
    token = context.deployment.key(team)
    context.reply = support.send(
        address, "POST", callers_steps.CHAT, token, callers_steps.chat(), headers
    )
    context.model_replies = [*getattr(context, "model_replies", []), context.reply.body]


@then("both responses are the same and the second is a replay")
def step_same_replies(context):
    assert len(context.model_replies) == 2 and context.model_replies[0] == context.model_replies[1]
    assert context.reply.headers["X-Outcome"] == "ran"
    assert context.reply.headers["X-Idempotent-Replay"] == "true"


@when(
    'a request submits a filing with key "{key}" and all writes of a second one lose their responses'
)
def step_second_loses_responses(context, key):
    first = gevent.spawn(submit_filing, context, "caseworkers", key)
    gevent.sleep(0.1)
    faults = context.deployment.platform.faults
    faults.lost_answers = 1000
    second = submit_filing(context, "caseworkers", key, 1)
    assert second.headers["X-Outcome"] in ("not-run", "unknown"), second
    faults.lost_answers = 0
    third = submit_filing(context, "caseworkers", key, 1)
    first.get()
    assert third.status in (200, 409), third


@given("routers wait {seconds:g} seconds for late responses")
def step_late_timeout(context, seconds):
    for item in context.deployment.routers:
        object.__setattr__(item.settings, "late_answer_seconds", seconds)


@given("late responses are withheld until they are released")
def step_withhold_late(context):
    context.release = event.Event()
    for service in context.deployment.services.values():
        service.late_responses_released = context.release


@when("the late responses are released")
def step_release_late(context):
    context.release.set()


@when("the caller waits {seconds:d} seconds")
def step_wait(context, seconds):
    gevent.sleep(seconds)
