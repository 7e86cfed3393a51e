"""Steps for endpoints, services and callers that send bytes without end."""

import dataclasses
import resource
import time
import types

import gevent
import gevent.server
from behave import given, then, when

from bronzemux import engine, engine_http, errors, http_client
from bronzemux.gateway import channels, http1, orders
from bronzemux.platform import engines, standin_worker
from features import gateway_support

CALL_SECONDS = 30.0
KILOBYTE = 1024
MEGABYTE = 1_000_000
# A stand-in stops here, so that a client without a limit does not exhaust the machine.
MAX_SENT_BYTES = 64 * MEGABYTE


def set_fault(worker, fault: str, pause: float) -> None:
    """Make a stand-in endpoint simulate a fault."""
    worker.fault, worker.endless_seconds = standin_worker.Fault(fault), pause


@given('all endpoints have the fault "{fault}" with {pause:g} seconds between the pieces')
def step_all_fault(context, fault, pause):
    for worker in context.site.workers.values():
        set_fault(worker, fault, pause)


@given('endpoint "{name}" has the fault "{fault}" with {pause:g} seconds between the pieces')
def step_one_fault(context, name, fault, pause):
    set_fault(context.site.workers[name], fault, pause)


@when('the request "{method} {path}" is sent with a deadline of {seconds:g} seconds')
def step_send(context, method, path, seconds):
    def call() -> tuple[gateway_support.Reply, float]:
        started_at = time.monotonic()
        with context.site.connect() as sock:
            sock.settimeout(CALL_SECONDS)
            fields = {"Deadline_Ms": str(int(seconds * 1000)), "Token_Counts": "100,10"}
            sock.sendall(context.site.encode(path, method, **fields))
            reply = gateway_support.read_reply(http1.Channel(sock), method)
        return reply, time.monotonic() - started_at

    context.call = gevent.spawn(call)


@when("the endpoints recover after {seconds:g} seconds")
def step_recover(context, seconds):
    gevent.sleep(seconds)
    for worker in context.site.workers.values():
        worker.fault = standin_worker.Fault.NONE


@then("its response has status {status:d} within {seconds:g} seconds")
def step_status(context, status, seconds):
    reply, elapsed = context.call.get(timeout=CALL_SECONDS)
    assert reply.status == status, reply
    assert not (status == 200 and reply.is_whole), reply
    assert elapsed <= seconds, elapsed


@then("the connection to the endpoint was closed")
def step_closed(context):
    gateway_support.wait_for(
        lambda: all(w.open_connections == 0 for w in context.site.workers.values()), 2.0
    )


@then("the stream is complete within {seconds:g} seconds")
def step_complete(context, seconds):
    reply, elapsed = context.call.get(timeout=CALL_SECONDS)
    assert reply.status == 200 and reply.is_whole, reply
    numbers = [int(n) for n in reply.body.decode().split("id: ")[1:] for n in [n.split("\n")[0]]]
    assert numbers == list(range(1, standin_worker.STREAM_EVENTS + 1)), numbers
    assert elapsed <= seconds, elapsed


@given("requests may take {seconds:g} seconds")
def step_timeout(context, seconds):
    routes = gateway_support.configuration()["routes"]
    routes = [route | {"timeout_ms": int(seconds * 1000)} for route in routes]
    put_configuration(context, gateway_support.configuration(2, routes))


def put_configuration(context, configuration: dict) -> None:
    """Write a configuration and wait until it is in force."""
    context.site.store.put("op", "config", configuration)
    state = context.site.gateways[0].cluster_state
    gateway_support.wait_for(lambda: state.configuration.version == configuration["version"])


@given("the endpoints send an event every {seconds:g} seconds, with a comment between two events")
def step_slow(context, seconds):
    for worker in context.site.workers.values():
        worker.event_seconds, worker.has_comments = seconds, True


@then("it was served by one endpoint")
def step_one_endpoint(context):
    assert sum(len(worker.executed) for worker in context.site.workers.values()) == 1


@given("the VM of the gateway has {megabytes:d} MB of memory")
def step_memory(context, megabytes):
    components = context.site.gateways[0].components
    config = dataclasses.replace(components.settings, memory_bytes=megabytes * MEGABYTE)
    components.pool.responses = channels.ResponseBudget(config.memory_bytes)
    context.site.gateways[0].forwarder.components = dataclasses.replace(components, settings=config)


@when("{count:d} requests are sent to the endpoints at once")
def step_many(context, count):
    context.peak_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    context.calls = [
        gevent.spawn(context.site.send, f"/filing/{number}") for number in range(count)
    ]
    gevent.sleep(0.05)
    started_at = time.monotonic()
    context.other_reply = context.site.send("/classify/1")
    context.other_seconds = time.monotonic() - started_at
    gevent.joinall(context.calls, timeout=CALL_SECONDS)


@then("the memory of the process grows by at most {megabytes:d} MB")
def step_grows(context, megabytes):
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    grown = (peak - context.peak_before) * KILOBYTE / MEGABYTE
    assert grown <= megabytes, grown
    statuses = {call.get().status for call in context.calls}
    assert statuses <= {200, 502, 504}, statuses


@then("a request to another service is answered within {seconds:g} seconds meanwhile")
def step_others(context, seconds):
    assert context.other_reply.status == 200 and context.other_reply.is_whole
    assert context.other_seconds <= seconds, context.other_seconds


@given("a platform service that sends a body without end")
def step_endless_service(context):
    context.sent_bytes = 0

    def serve(sock, address):
        sock.recv(4096)
        try:
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            piece = http1.encode_chunk(bytes(standin_worker.ENDLESS_PIECE_BYTES))
            while True:
                sock.sendall(piece)
                context.sent_bytes += len(piece)
        except OSError:
            return

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    context.cleanups.append(lambda: server.stop(timeout=0))
    context.service_port = server.server_port


@when("it is called")
def step_call_service(context):
    config = http_client.PlatformServiceSettings("127.0.0.1", context.service_port)
    try:
        http_client.PlatformServiceClient(config).exchange("GET", "/", b"", is_write=False)
        context.error = None
    except errors.PlatformError as error:
        context.error = error


@then("the call fails as unavailable after at most {megabytes:d} MB")
def step_unavailable(context, megabytes):
    assert isinstance(context.error, errors.PlatformUnavailableError), context.error
    assert context.sent_bytes <= megabytes * MEGABYTE, context.sent_bytes


@given("callers may be idle for {seconds:g} seconds")
def step_idle_limit(context, seconds):
    limits = gateway_support.configuration()["limits"] | {"idle_timeout_ms": int(seconds * 1000)}
    put_configuration(context, gateway_support.configuration(2, limits=limits))


@when("a caller sends a body of {count:d} bytes, one each {pause:g} seconds")
def step_slow_body(context, count, pause):
    started_at = time.monotonic()
    with context.site.connect() as sock:
        sock.sendall(context.site.encode("/filing/1", body=b"x" * count)[:-count])

        def write():
            try:
                for _ in range(count):
                    sock.sendall(b"x")
                    gevent.sleep(pause)
            except OSError:
                return

        writer = gevent.spawn(write)
        try:
            context.reply = gateway_support.read_reply(http1.Channel(sock))
        except OSError:
            context.reply = gateway_support.Reply(0)
        writer.kill()
    context.seconds = time.monotonic() - started_at


@then("it gets the status {status:d} within {seconds:g} seconds")
def step_refused(context, status, seconds):
    assert context.reply.status == status, context.reply
    assert context.seconds <= seconds, context.seconds


@given("an endpoint that sends {what} without end")
def step_endless_endpoint(context, what):
    context.sent_bytes = 0
    context.pieces = {
        "a body": (b"HTTP/1.1 200 OK\r\n\r\n", bytes(http1.READ_BYTES)),
        "chunks": (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            http1.encode_chunk(bytes(http1.READ_BYTES)),
        ),
        "a head": (b"HTTP/1.1 200 OK\r\n", b"Filler: filler\r\n" * 1000),
        "the body of an error": (b"HTTP/1.1 500 X\r\n\r\n", bytes(http1.READ_BYTES)),
    }[what]

    def serve(sock, address):
        sock.recv(http1.READ_BYTES)
        start, piece = context.pieces
        try:
            sock.sendall(start)
            while context.sent_bytes < MAX_SENT_BYTES:
                sock.sendall(piece)
                context.sent_bytes += len(piece)
        except OSError:
            return

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    context.cleanups.append(lambda: server.stop(timeout=0))
    context.service_port = server.server_port


def call_endpoint(port: int, call: str):
    """Make a call of a router to an endpoint; return its result, None when it failed."""
    address = f"127.0.0.1:{port}"
    entry = types.SimpleNamespace(id="e1", address=address)
    if call == "report":
        return engines.EngineClient().report(entry)
    if call == "order":
        order = orders.WeightsOrder(entry, "m1", 2, orders.SwitchMode.QUEUE, "vm-1", 1, None)
        outcome = engines.EngineClient().order_weights(order)
        return None if outcome is orders.Outcome.UNKNOWN else outcome
    if call == "events":
        return engines.HttpCacheStoreClient().await_changes(address, 0, 0.0)
    client = engine_http.HttpEngine("e1", "127.0.0.1", port, http_client.Timeouts(1.0, 1.0))
    try:
        if call == "state":
            return client.state(0)
        return client.start(engine.Job("job", "/", b"x", b"", "1", 0))
    except errors.EndpointError:
        return None


@when("its {call} is sent")
def step_call_endpoint(context, call):
    started_at = time.monotonic()
    context.result = call_endpoint(context.service_port, call)
    context.seconds = time.monotonic() - started_at


@then("the call fails within {seconds:g} seconds, after at most {megabytes:d} MB")
def step_call_fails(context, seconds, megabytes):
    assert context.result is None, context.result
    assert context.seconds <= seconds, context.seconds
    assert context.sent_bytes <= megabytes * MEGABYTE, context.sent_bytes
