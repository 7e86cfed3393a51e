"""Steps of callers.feature."""

import dataclasses
import json
import socket

import gevent
from behave import given, then, when

from bronzemux import http_client, http_server
from features import support

CHAT = "/v1/chat/completions"
MODEL = "statute-7b"
SMALL_BUFFER_BYTES = 4096
STOP_POLLS = 1000


def chat(**changes) -> bytes:
    """Return a chat body with changes."""
    body = {"model": MODEL, "messages": [{"role": "user", "content": "Hello"}]}
    return json.dumps(body | changes).encode()


def bad_requests(deployment) -> dict[str, tuple]:
    """Return method, path, key, body and headers by description."""
    key = deployment.key("caseworkers")
    post = ("POST", CHAT, key)
    filing = ("POST", "/services/cases/filings", key, b"{}")
    return {
        "a wrong key": ("POST", CHAT, "wrong", chat(), {}),
        "no key": ("POST", CHAT, "", chat(), {}),
        "another team's model": (*post, chat(model="other-model"), {}),
        "an unknown model": (*post, chat(model="none"), {}),
        "an unknown adapter": (*post, chat(model=f"{MODEL}:none"), {}),
        "a broken body": (*post, b'{"model": ', {}),
        "a body that is a list": (*post, b"[]", {}),
        "no messages": (*post, json.dumps({"model": MODEL}).encode(), {}),
        "a deeply nested body": (*post, b"[" * 100_000, {}),
        "a lone surrogate": (*post, chat(messages=[{"role": "user", "content": "\ud800"}]), {}),
        "a negative max_tokens": (*post, chat(max_tokens=-1), {}),
        "a bad deadline header": (*post, chat(), {"X-Deadline-Seconds": "soon"}),
        "a body over the limit": (*post, chat(padding="x" * 9_000_000), {}),
        "an unknown path": ("GET", "/v2/none", key, b"", {}),
        "a wrong method": ("GET", CHAT, key, b"", {}),
        "an unknown service": ("GET", "/services/none/x", key, b"", {}),
        "a filing without a key": (*filing, {}),
        "a filing with an unusable key": (*filing, {"Idempotency-Key": "a b"}),
        "a temperature above the engine's limit": (*post, chat(temperature=99), {}),
        "a plain chat": (*post, chat(), {}),
        "a chat with a deadline of 0.5 seconds": (*post, chat(), {"X-Deadline-Seconds": "0.5"}),
        "an unknown workload": (*post, chat(), {"X-Workload": "none"}),
    }


@when('team "{team}" asks for a completion that is not streamed')
def step_plain(context, team):
    client = support.openai_client(context.deployment, team)
    answer = client.completions.create(model=MODEL, prompt="Hello", max_tokens=16)
    context.answers.append((answer.choices[0].text, answer.usage))


@then("the first answer reused {tokens:d} tokens")
def step_first_reuse(context, tokens):
    assert context.answers[0][1].prompt_tokens_details.cached_tokens == tokens


@then("the second answer reused {tokens:d} tokens")
def step_second_reuse(context, tokens):
    assert context.answers[1][1].prompt_tokens_details.cached_tokens == tokens


@then("the second answer reused most of the prompt")
def step_most(context):
    usage = context.answers[1][1]
    assert usage.prompt_tokens_details.cached_tokens > 0.9 * usage.prompt_tokens, usage


@when('a caller in "{data_centre}" asks which router to use')
def step_locate(context, data_centre):
    address = support.router_address(context.deployment)
    context.reply = support.send(address, "GET", f"/v1/locate?data_centre={data_centre}")


@then('the first router named is in "{data_centre}"')
def step_located(context, data_centre):
    body = context.reply.json()
    assert body["routers"][0]["data_centre"] == data_centre, body
    assert len(body["routers"]) == 2 and body["lifetime_seconds"] > 0


@then("a chat through the first router named gives a whole answer")
def step_located_chat(context):
    address = context.reply.json()["routers"][0]["address"]
    reply = support.send(address, "POST", CHAT, context.deployment.key("caseworkers"), chat())
    assert reply.status == 200, reply


@when("bad input arrives: {request}")
def step_bad(context, request):
    method, path, key, body, headers = bad_requests(context.deployment)[request]
    address = support.router_address(context.deployment)
    context.reply = support.send(address, method, path, key, body, headers)


@given("routers wait {seconds:g} seconds for a body")
def step_body_limit(context, seconds):
    for item in context.deployment.routers:
        object.__setattr__(item.settings, "body_seconds", seconds)


@given("routers wait {seconds:g} seconds for headers")
def step_header_limit(context, seconds):
    for item in context.deployment.routers:
        item.server.deadlines = http_server.Deadlines(header=seconds, idle=5.0)


def dial(context) -> http_client.Connection:
    """Open a connection to the first router."""
    port = context.deployment.routers[0].port
    connection = http_client.Connection("127.0.0.1", port, http_client.Timeouts(1.0, 10.0))
    context.cleanups.append(connection.close)
    return connection


@when("a caller sends half of its body and waits")
def step_half_body(context):
    connection = dial(context)
    key = context.deployment.key("caseworkers")
    headers = {"Authorization": f"Bearer {key}"}
    raw = http_client.encode_request("POST", CHAT, "router", headers, chat())
    connection.socket.sendall(raw[:-20])
    response = connection.receive("POST")
    body = connection.read_all()
    context.reply = support.Reply(response.status_code, dict(response.items()), body)


@when("a caller sends half of its headers and waits")
def step_half_headers(context):
    context.connection = dial(context)
    context.connection.socket.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-")


@then("the connection is closed")
def step_closed(context):
    data = context.connection.socket.recv(65536)
    while data:
        data = context.connection.socket.recv(65536)


@given("engines take {seconds:g} seconds a word")
def step_slow_words(context, seconds):
    for engine in context.deployment.engines.values():
        engine.faults.slowness = seconds / engine.settings.token_seconds
        object.__setattr__(engine.settings, "prefill_tokens_per_second", 1e9)


@when('a caller of team "{team}" leaves after the first part of {count:d}')
def step_leave(context, team, count):
    connection = dial(context)
    headers = {"Authorization": f"Bearer {context.deployment.key(team)}"}
    connection.send("POST", CHAT, headers, chat(stream=True, max_tokens=count))
    connection.receive("POST")
    assert connection.read()
    connection.close()


def works(context) -> list:
    """Return the jobs at all engines."""
    return [w for engine in context.deployment.engines.values() for w in engine.jobs.values()]


@then("the endpoint stops before {count:d} words")
def step_stopped(context, count):
    for _ in range(STOP_POLLS):
        if all(work.is_cancelled for work in works(context)):
            break
        gevent.sleep(0.02)
    assert works(context) and all(work.is_cancelled for work in works(context))
    assert all(len(work.parts) < count for work in works(context))


@given("routers wait {seconds:g} second for a caller that does not read")
def step_write_deadline(context, seconds):
    for item in context.deployment.routers:
        item.server.deadlines = dataclasses.replace(item.server.deadlines, write=seconds)


@when('a caller of team "{team}" asks for {count:d} words and reads only the headers')
def step_read_nothing(context, team, count):
    connection = dial(context)
    connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    body = chat(stream=True, max_tokens=count)
    headers = {"Authorization": f"Bearer {context.deployment.key(team)}"}
    connection.send("POST", CHAT, headers, body)
    connection.receive("POST")
    context.cleanups.append(connection.close)


@then("no request is counted as in flight")
def step_no_flight(context):
    for _ in range(200):
        if not context.deployment.routers[0].status.in_flight:
            break
        gevent.sleep(0.02)
    assert context.deployment.routers[0].status.in_flight == 0


@when("a caller keeps a connection open")
def step_keep_open(context):
    connection = dial(context)
    connection.send("GET", "/healthz", {}, b"")
    connection.receive("GET")
    connection.read_all()


@then("the router's end has TCP_NODELAY set")
def step_nodelay(context):
    sockets = context.deployment.routers[0].server.open_sockets
    assert sockets
    assert all(s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for s in sockets)


@then("the router's connections to endpoints have TCP_NODELAY set")
def step_nodelay_out(context):
    client = support.openai_client(context.deployment, "caseworkers")
    support.stream_text(client, MODEL, "short", "question")
    engines = context.deployment.routers[0].engines.engines.values()
    sockets = [connection.socket for engine in engines for connection in engine.idle]
    assert sockets
    assert all(s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for s in sockets)


@then('GET "{path}" answers {status:d}')
def step_get(context, path, status):
    reply = support.send(support.router_address(context.deployment), "GET", path)
    assert reply.status == status, reply
