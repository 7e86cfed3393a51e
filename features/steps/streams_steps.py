"""Steps of streams.feature."""

import time

import gevent
from behave import given, then, when

from bronzemux import clock as clocks
from bronzemux import engine_http, http_client, standin_engine, standin_response
from features import support
from features.steps import callers_steps

RESUME_SECONDS = 10.0


def engines(context) -> list[standin_engine.StandinEngine]:
    """Return all engines."""
    return list(context.deployment.engines.values())


def set_fault_everywhere(context, fault, value) -> None:
    """Activate a fault at all engines, because the engine of the next stream is not known yet."""
    for engine in engines(context):
        setattr(engine.faults, fault, value)


def clear_faults_of_idle_engines(context) -> None:
    """Wait until an engine runs a request, then clear the faults of all other engines."""
    while not any(engine.executions for engine in engines(context)):
        gevent.sleep(0.0005)
    for engine in engines(context):
        if not engine.executions:
            engine.faults = standin_engine.Faults()


def restart_after_crash(context) -> None:
    """Wait until an engine crashes and restart it at once."""
    while all(engine.is_up for engine in engines(context)):
        gevent.sleep(0.0005)
    next(engine for engine in engines(context) if not engine.is_up).restart()


FAULTS = {
    "crash after 5 parts": [("crash_after_parts", 5)],
    "crash after 15 parts": [("crash_after_parts", 15)],
    "go silent after 5 parts": [("mute_after_parts", 5)],
    "lose a part": [("skipped_parts", 1)],
    "send a part twice": [("doubled_parts", 1)],
    "respond under another request id": [("crossed_answers", 1)],
    "crash after 5 parts and restart": [("crash_after_parts", 5)],
    "go silent, then crash": [("mute_after_parts", 4), ("crash_after_parts", 8)],
    "lose a part, then go silent": [("skipped_parts", 1), ("mute_after_parts", 8)],
}


@given("the engine that runs a stream will {fault}")
def step_fault(context, fault):
    for name, value in FAULTS[fault]:
        set_fault_everywhere(context, name, value)
    gevent.spawn(clear_faults_of_idle_engines, context)
    if "restart" in fault:
        gevent.spawn(restart_after_crash, context)


@then("the number of executions is {count:d}")
def step_executions(context, count):
    assert len(context.deployment.executions()) == count, context.deployment.executions()


@then('the counter "{counter}" of router {number:d} is {count:d}')
def step_counted(context, number, counter, count):
    meters = context.deployment.routers[number - 1].meters
    value = getattr(meters, counter)._value.get()
    assert value == count, f"{counter} is {value}"


@given("every engine refuses new requests")
def step_refuse(context):
    for engine in engines(context):
        engine.faults.refuses = True


@given('every engine refuses new requests and asks for a pause of "{value}" seconds')
def step_refuse_for(context, value):
    for engine in engines(context):
        engine.faults.refuses, engine.faults.retry_after = True, value


@given("every engine works again")
def step_accept(context):
    for engine in engines(context):
        engine.faults.refuses = False


@when("plain chats arrive for {seconds:g} seconds")
def step_chats(context, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        context.execute_steps("When this request arrives: a plain chat")
        assert context.reply.status == 503, context.reply
        gevent.sleep(0.02)


@then("no engine refused a second request within {seconds:g} seconds")
def step_refused_once(context, seconds):
    refused = [engine.faults.refused_at for engine in engines(context)]
    assert any(refused)
    early = [sum(at < times[0] + seconds for at in times[1:]) for times in refused]
    assert not any(early), early


@then("the caller is told to retry after {low:g} to {high:g} seconds")
def step_told(context, low, high):
    assert low <= float(context.reply.headers["Retry-After"]) <= high, context.reply.headers


@given("every engine has crashed")
def step_crashed(context):
    for engine in engines(context):
        engine.crash()
    wait_for(lambda: not any(is_available(context, engine) for engine in engines(context)))


@then("every engine is available")
def step_available(context):
    assert all(is_available(context, engine) for engine in engines(context))


def is_available(context, engine) -> bool:
    """Return whether router 1 considers an engine available."""
    router = context.deployment.routers[0]
    state = router.dispatcher.fleet.states[engine.settings.name]
    return router.dispatcher.fleet.is_available(state, router.clock.monotonic())


def wait_for(condition, seconds: float = 30.0) -> None:
    """Poll a condition until it holds.

    Args:
      condition: Function without arguments; must limit the duration of its own calls.
      seconds: Time after which no further poll follows.

    Raises:
      TimeoutError: When the condition does not hold in time.
    """
    clock = clocks.SystemClock()
    deadline = clock.monotonic() + seconds
    while not condition():
        if clock.monotonic() > deadline:
            raise TimeoutError(f"the condition did not hold within {seconds:g} s")
        gevent.sleep(0.01)


@when('a caller of team "{team}" reads {count:d} parts through router {number:d}')
def step_read_parts(context, team, count, number):
    connection = callers_steps.open_connection(context)
    body = callers_steps.chat(stream=True, max_tokens=40)
    headers = {"Authorization": f"Bearer {context.deployment.key(team)}"}
    connection.send("POST", callers_steps.CHAT, headers, body)
    response = connection.receive("POST")
    context.token = response.get("X-Resume-Token")
    context.parts = []
    for event in http_client.iter_events(iter(connection.read, b"")):
        context.parts.append(engine_http.decode_event(event))
        if len(context.parts) == count:
            return


@when("router {number:d} crashes")
def step_router_crashes(context, number):
    context.deployment.crash_router(number - 1)


def resume_stream(context, team: str, token: str | None, position: int = 1):
    """Request the rest of a stream after the last received part from a router."""
    headers = {"Last-Event-ID": str(context.parts[-1].number)}
    if token is not None:
        headers["X-Resume-Token"] = token
    address = support.router_address(context.deployment, position)
    key = context.deployment.key(team)
    return support.send(address, "GET", "/v1/resume", key, b"", headers)


@when("the caller resumes the stream through router {number:d} with its resume token")
def step_resume(context, number):
    reply = resume_stream(context, "caseworkers", context.token, number - 1)
    assert reply.status == 200, reply
    events = http_client.iter_events(iter([reply.body]))
    context.parts += [engine_http.decode_event(event) for event in events]


@then("the parts are complete and in order, with {count:d} words")
def step_parts(context, count):
    from bronzemux import completion

    numbers = [part.number for part in context.parts]
    assert numbers == sorted(set(numbers)), numbers
    text = completion.joined_text(part.data for part in context.parts)
    assert standin_response.is_complete_response(text, count), text


@when('team "{team}" resumes the stream with a token that is {form}')
def step_resume_with_token(context, team, form):
    swapped = "A" if context.token[30] != "A" else "B"
    forms = {
        "unchanged": context.token,
        "forged": context.token[:30] + swapped + context.token[31:],
        "garbled": "%%%",
        "missing": None,
    }
    context.reply = resume_stream(context, team, forms[form])


@given('engines crash on the text "{text}"')
def step_poison(context, text):
    context.poison = text
    for engine in engines(context):
        engine.faults.poison = text


@when('team "{team}" sends the poison text')
def step_send_poison(context, team):
    address = support.router_address(context.deployment)
    body = callers_steps.chat(messages=[{"role": "user", "content": context.poison}])
    key = context.deployment.key(team)
    context.reply = support.send(address, "POST", callers_steps.CHAT, key, body)


@when('team "{team}" sends {count:d} prompts that begin with the poison text')
def step_send_poison_prefix(context, team, count):
    for number in range(count):
        send_chat(context, team, [context.poison, f"question {number}"])


@when('team "{team}" continues a chat of {length:d} messages {count:d} times with the poison text')
def step_continue_chat(context, team, length, count):
    chat = [f"message {number}" for number in range(length)]
    for number in range(count):
        send_chat(context, team, [*chat, f"sound {number}"])
        assert context.reply.status == 200, context.reply
        send_chat(context, team, [*chat, context.poison, f"question {number}"])


def send_chat(context, team: str, contents: list[str]) -> None:
    """Send a chat of some messages of a team to the first router."""
    address = support.router_address(context.deployment)
    messages = [{"role": "user", "content": content} for content in contents]
    body = callers_steps.chat(messages=messages)
    key = context.deployment.key(team)
    context.reply = support.send(address, "POST", callers_steps.CHAT, key, body)


@then("at most {count:d} engines have crashed")
def step_crash_count(context, count):
    assert sum(not engine.is_up for engine in engines(context)) <= count


@then('the error is "{kind}"')
def step_error_kind(context, kind):
    assert context.reply.json()["error"]["type"] == kind, context.reply
