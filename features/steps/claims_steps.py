"""Steps of claims.feature."""

import gevent
from behave import given, then, when
from gevent import event

from features import support
from features.steps import callers_steps

FILING = "/services/cases/filings"
MODES = {
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
ANSWER_SECONDS = 60.0


def services(context) -> list:
    """Return all stand-in services."""
    return list(context.deployment.services.values())


def file_request(context, team: str, key: str, position: int = 0, body: bytes = b'{"a":1}'):
    """File once and return the reply."""
    address = support.router_address(context.deployment, position)
    headers = {"Idempotency-Key": key, "Content-Type": "application/json"}
    return support.send(address, "POST", FILING, context.deployment.key(team), body, headers)


@given("case services will {fault}")
def step_service_fault(context, fault):
    for service in services(context):
        if fault == "refuse connections":
            service.crash()
        else:
            service.next_fault_modes = [MODES[fault]] * 5


class CountedModes(list):
    """Modes that all services share, and the number of requests that asked for one."""

    asked = 0

    def __bool__(self):
        self.asked += 1
        return len(self) > 0


@given("the first case service that is asked will {fault}")
def step_first_fault(context, fault):
    context.modes = CountedModes([MODES[fault]])
    for service in services(context):
        service.next_fault_modes = context.modes


@when('team "{team}" looks up a status')
def step_look_up(context, team):
    address = support.router_address(context.deployment)
    key = context.deployment.key(team)
    context.reply = support.send(address, "GET", "/services/cases/status", key)


@then("the services were asked {count:d} times")
def step_asked(context, count):
    assert context.modes.asked == count, context.modes.asked


@given("case services work again")
def step_service_well(context):
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


@when('team "{team}" files with key "{key}"')
def step_file(context, team, key):
    context.reply = file_request(context, team, key)


@when('team "{team}" files with key "{key}" through router {number:d}')
def step_file_through(context, team, key, number):
    context.reply = file_request(context, team, key, number - 1)


@when('team "{team}" files other content with key "{key}"')
def step_file_other(context, team, key):
    context.reply = file_request(context, team, key, body=b'{"a":2}')


@when('team "{team}" files with key "{key}" until it gets an answer')
def step_file_until(context, team, key):
    with gevent.Timeout(ANSWER_SECONDS, TimeoutError("not done in time")):
        context.reply = file_request(context, team, key)
        while context.reply.status != 200:
            gevent.sleep(0.1)
            context.reply = file_request(context, team, key)


@then("the filings that ran number {count:d}")
def step_filings(context, count):
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
        gevent.spawn(go_down_once_filed, context)


def go_down_once_filed(context) -> None:
    """Let the platform go down when the first filing has begun."""
    for service in services(context):
        service.work_seconds = 0.2
    while not any(service.executions_started for service in services(context)):
        gevent.sleep(0.001)
    context.deployment.platform.faults.is_down = True


@given("the platform works again")
def step_platform_well(context):
    context.deployment.platform.faults.is_down = False
    context.deployment.platform.faults.lost_answers = 0


@when('team "{team}" files {count:d} times at once with key "{key}"')
def step_file_many(context, team, count, key):
    jobs = [gevent.spawn(file_request, context, team, key, i % 2) for i in range(count)]
    gevent.joinall(jobs, raise_error=True)
    context.replies = [job.value for job in jobs]


@then("every reply is the answer or says that it is in progress")
def step_replies(context):
    statuses = {reply.status for reply in context.replies}
    assert statuses <= {200, 409}, statuses
    assert len({reply.body for reply in context.replies if reply.status == 200}) == 1


def filing_connection(context, team: str, key: str):
    """Send a filing through router 1 and return the open connection."""
    connection = callers_steps.dial(context)
    headers = {
        "Authorization": f"Bearer {context.deployment.key(team)}",
        "Idempotency-Key": key,
        "Content-Type": "application/json",
    }
    connection.send("POST", FILING, headers, b'{"a":1}')
    return connection


@when('a caller of team "{team}" leaves while its filing "{key}" runs')
def step_leave_filing(context, team, key):
    connection = filing_connection(context, team, key)
    gevent.sleep(0.1)
    connection.close()


@when('router 1 crashes while filing "{key}" of team "{team}" runs')
def step_crash_filing(context, key, team):
    filing_connection(context, team, key)
    gevent.sleep(0.1)
    context.deployment.crash_router(0)
    gevent.sleep(0.5)


@when('team "{team}" asks for the outcome of "{key}"')
def step_ask(context, team, key):
    address = support.router_address(context.deployment)
    token = context.deployment.key(team)
    context.reply = support.send(address, "GET", f"/v1/requests/{key}", token)


@when('team "{team}" asks a model for a filing letter with key "{key}"')
def step_letter(context, team, key):
    address = support.router_address(context.deployment)
    headers = {"Idempotency-Key": key}
    token = context.deployment.key(team)
    context.reply = support.send(
        address, "POST", callers_steps.CHAT, token, callers_steps.chat(), headers
    )
    context.letters = [*getattr(context, "letters", []), context.reply.body]


@then("both letters are the same")
def step_same_letters(context):
    assert len(context.letters) == 2 and context.letters[0] == context.letters[1]
    assert context.reply.headers["X-Outcome"] == "ran"
    assert context.reply.headers["X-Idempotent-Replay"] == "true"


@when(
    'a first request files with key "{key}" and the answers of all writes are lost for a second one'
)
def step_ambiguous_second(context, key):
    first = gevent.spawn(file_request, context, "caseworkers", key)
    gevent.sleep(0.1)
    faults = context.deployment.platform.faults
    faults.lost_answers = 1000
    second = file_request(context, "caseworkers", key, 1)
    assert second.headers["X-Outcome"] in ("not-run", "unknown"), second
    faults.lost_answers = 0
    third = file_request(context, "caseworkers", key, 1)
    first.get()
    assert third.status in (200, 409), third


@given("routers wait {seconds:g} seconds for late answers")
def step_late(context, seconds):
    for item in context.deployment.routers:
        object.__setattr__(item.settings, "late_answer_seconds", seconds)


@given("late answers are held back until they are let go")
def step_hold(context):
    context.release = event.Event()
    for service in context.deployment.services.values():
        service.late_responses_released = context.release


@when("late answers are let go")
def step_let_go(context):
    context.release.set()


@when("{seconds:d} seconds go by")
def step_pass(context, seconds):
    gevent.sleep(seconds)
