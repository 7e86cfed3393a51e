"""Steps for crowds of callers that do not behave."""

import socket

from behave import given, then, when

from bronzemux.gateway import http1
from features import crowd, gateway_support

# Tries of an ordinary caller, which comes back when it is refused or its connection is closed.
TRIES = 3
ROUTE_TIMEOUT_MS = 10_000
MAX_FAILED_SAMPLES = 5


@given("a gateway process with little memory and few descriptors")
def step_process(context):
    site = gateway_support.Site()
    context.cleanups.append(site.stop)
    routes = gateway_support.configuration()["routes"]
    routes = [route | {"timeout_ms": ROUTE_TIMEOUT_MS} for route in routes]
    site.store.put("op", "config", gateway_support.configuration(1, routes, limits=crowd.LIMITS))
    for identity, service, weights in (("app-1", "app", None), ("lm-1", "lm", {"m1": 1})):
        worker = crowd.LongResponseWorker(identity, service, weights)
        worker.start()
        site.workers[identity] = worker
        site.store.put("servers", identity, worker.entry())
    context.site = site
    context.gateway = crowd.WatchedGateway(site.store.address, crowd.make_folder(context))
    context.cleanups.append(context.gateway.end)
    context.gateway.wait_until_ready()


@when("{count:d} callers send {manner} to {targets}")
def step_crowd(context, count, manner, targets):
    context.crowd = crowd.Crowd(
        context.gateway, crowd.TARGETS[targets], crowd.MANNERS[manner], count
    )
    context.cleanups.append(context.crowd.leave)
    context.crowd.settle()


@then("an ordinary request is answered beside them")
def step_beside(context):
    check_ordinary(context)


@then("an ordinary request is answered after they have left")
def step_after(context):
    context.crowd.leave()
    check_ordinary(context)


def check_ordinary(context) -> None:
    """Check that an ordinary caller gets the endpoint's response, and the other pages answer."""
    ask_until_served(context)
    assert crowd.get(context.gateway, "ready", "/-/ready").status == 200


def ask_until_served(context) -> None:
    """Send an ordinary request until it is served; the caller comes back a few times."""
    found = []
    for _ in range(TRIES):
        reply = ask(context)
        if reply.status == 200 and reply.is_whole and reply.body == b"app-1 ran /filing/ordinary":
            return
        found.append((reply.status, reply.body[:80]))
    raise AssertionError(f"not served: {found}; {context.gateway.log_path.read_text()[-600:]}")


def ask(context) -> gateway_support.Reply:
    """Send an ordinary request on a new connection."""
    data = context.site.encode("/filing/ordinary", Deadline_Ms="10000")
    try:
        with socket.create_connection(
            context.gateway.addresses["front"], crowd.HANG_SECONDS / TRIES
        ) as sock:
            sock.settimeout(crowd.HANG_SECONDS / TRIES)
            sock.sendall(data)
            return gateway_support.read_reply(http1.Channel(sock))
    except OSError as error:
        return gateway_support.Reply(0, body=str(error).encode())


@then("the process lives, and stayed within its memory and descriptors")
def step_within(context):
    gateway = context.gateway
    assert (
        not gateway.sampler.dead and len(gateway.failed_samples) < MAX_FAILED_SAMPLES
    ), gateway.failed_samples
    gateway.sample()
    found = (
        f"memory {gateway.start_bytes / 1e6:.0f} to {gateway.peak_bytes / 1e6:.0f} of "
        f"{crowd.MEMORY_BYTES / 1e6:.0f} MB, {gateway.peak_sockets} sockets, "
        f"{gateway.peak_descriptors} descriptors, {context.crowd.sent_bytes / 1e6:.0f} MB sent"
    )
    print(found)
    assert gateway.is_alive(), found
    assert gateway.peak_bytes <= crowd.MEMORY_BYTES, found
    max_sockets = crowd.MAX_FILE_DESCRIPTORS - crowd.RESERVED_FILE_DESCRIPTORS
    assert gateway.peak_sockets <= max_sockets, found
    assert gateway.peak_descriptors <= crowd.MAX_FILE_DESCRIPTORS, found
