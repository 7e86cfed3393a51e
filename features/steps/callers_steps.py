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
RECEIVE_BUFFER_BYTES = 4096
MAX_CANCEL_POLLS = 1000


def chat(**changes) -> bytes:
    """Return the body of a chat request with changed fields."""
    body = {"model": MODEL, "messages": [{"role": "user", "content": "Hello"}]}
    return json.dumps(body | changes).encode()


def requests_by_description(deployment) -> dict[str, tuple]:
    """Return method, path, API key, body and headers of each request by its description."""
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
def step_not_streamed(context, team):
    client = support.openai_client(context.deployment, team)
    response = client.completions.create(model=MODEL, prompt="Hello", max_tokens=16)
    context.answers.append((response.choices[0].text, response.usage))


@then("the first response has {tokens:d} cached tokens")
def step_first_cached(context, tokens):
    assert context.answers[0][1].prompt_tokens_details.cached_tokens == tokens


@then("the second response has {tokens:d} cached tokens")
def step_second_cached(context, tokens):
    assert context.answers[1][1].prompt_tokens_details.cached_tokens == tokens


@then("the second response has most of its prompt tokens cached")
def step_mostly_cached(context):
    usage = context.answers[1][1]
    assert usage.prompt_tokens_details.cached_tokens > 0.9 * usage.prompt_tokens, usage


@when('a caller in "{data_centre}" asks for the addresses of routers')
def step_locate(context, data_centre):
    address = support.router_address(context.deployment)
    context.reply = support.send(address, "GET", f"/v1/locate?data_centre={data_centre}")


@then('the first listed router is in "{data_centre}"')
def step_located(context, data_centre):
    body = context.reply.json()
    assert body["routers"][0]["data_centre"] == data_centre, body
    assert len(body["routers"]) == 2 and body["lifetime_seconds"] > 0


@then("a chat through the first listed router succeeds")
def step_located_chat(context):
    address = context.reply.json()["routers"][0]["address"]
    reply = support.send(address, "POST", CHAT, context.deployment.key("caseworkers"), chat())
    assert reply.status == 200, reply


@when("this request arrives: {request}")
def step_request(context, request):
    method, path, key, body, headers = requests_by_description(context.deployment)[request]
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
    """Open a connection to the first router that closes at the end of the scenario."""
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


@given("engines take {seconds:g} seconds per word")
def step_slow_words(context, seconds):
    for engine in context.deployment.engines.values():
        engine.faults.slowness = seconds / engine.settings.token_seconds
        object.__setattr__(engine.settings, "prefill_tokens_per_second", 1e9)


@when('a caller of team "{team}" disconnects after the first part of {count:d}')
def step_disconnect(context, team, count):
    connection = dial(context)
    headers = {"Authorization": f"Bearer {context.deployment.key(team)}"}
    connection.send("POST", CHAT, headers, chat(stream=True, max_tokens=count))
    connection.receive("POST")
    assert connection.read()
    connection.close()


def engine_jobs(context) -> list:
    """Return the jobs of all engines."""
    return [job for engine in context.deployment.engines.values() for job in engine.jobs.values()]


@then("the endpoint cancels the request before {count:d} words")
def step_cancelled(context, count):
    for _ in range(MAX_CANCEL_POLLS):
        if all(job.is_cancelled for job in engine_jobs(context)):
            break
        gevent.sleep(0.02)
    assert engine_jobs(context) and all(job.is_cancelled for job in engine_jobs(context))
    assert all(len(job.parts) < count for job in engine_jobs(context))


@given("routers wait {seconds:g} second for a caller that does not read")
def step_write_deadline(context, seconds):
    for item in context.deployment.routers:
        item.server.deadlines = dataclasses.replace(item.server.deadlines, write=seconds)


@when('a caller of team "{team}" asks for {count:d} words and reads only the headers')
def step_read_nothing(context, team, count):
    connection = dial(context)
    connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
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


@then("the router's side of the connection has TCP_NODELAY set")
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


@then('GET "{path}" returns status {status:d}')
def step_get(context, path, status):
    reply = support.send(support.router_address(context.deployment), "GET", path)
    assert reply.status == status, reply
