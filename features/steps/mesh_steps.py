"""Steps of mesh.feature."""

import os
import socket

import gevent
from behave import given, then, when

from bronzemux import (
    clock,
    config_edit,
    config_store,
    errors,
    membership,
    peers,
    porcelain,
    standin_response,
)
from features import support
from features.steps import callers_steps, streams_steps

LARGE_BYTES = 50_000_000
HANG_SECONDS = 10.0
INVALID_DOCUMENT = "this is not TOML ["


@given('a development deployment "{name}" with {count:d} routers')
def step_deployment(context, name, count):
    support.start_development(context, name, routers=count)
    context.responses = []


def store(context) -> config_store.ConfigStore:
    """Return the configuration store of the platform's table service."""
    return config_store.ConfigStore(context.deployment.platform.table, clock.SystemClock())


@when('preset "{preset}" is put in force at the table service')
def step_preset(context, preset):
    porcelain.use_preset(store(context), preset, None, "test")


@when('preset "{preset}" is accepted and only router 1 receives it before the platform goes down')
def step_partial(context, preset):
    context.deployment.platform.faults.is_down = True
    porcelain.use_preset(store(context), preset, None, "test")
    head = store(context).read()
    context.deployment.routers[0].config_watcher.send(head)


@given("router 2 has other content for version 1")
def step_other_content(context):
    context.deployment.routers[1].mesh.heads[1] = b"other"


@when("the platform goes down")
def step_down(context):
    streams_steps.wait_for(
        lambda: all(r.status.snapshot.version == 2 for r in context.deployment.routers)
    )
    context.deployment.platform.faults.is_down = True


def replace(context, position: int) -> None:
    """Replace a router by a new process on the same port."""
    deployment = context.deployment
    if deployment.routers[position].server.started:
        deployment.crash_router(position)
    deployment.start_router(position)


@when("router {number:d} is replaced")
def step_replace(context, number):
    replace(context, number - 1)
    wait_for_endpoints(context, number - 1)


def wait_for_endpoints(context, position: int) -> None:
    """Wait until a router has received the state of all engines."""
    streams_steps.wait_for(
        lambda: context.deployment.is_ready(context.deployment.routers[position])
    )


@when("all routers are replaced")
def step_replace_all(context):
    for position in range(len(context.deployment.routers)):
        context.deployment.crash_router(position)
    for position in range(len(context.deployment.routers)):
        context.deployment.start_router(position)
    context.deployment.wait_ready()


@when("router 1 is offered version 1 again")
def step_offer_old(context):
    head = store(context).read_version(1)
    context.deployment.routers[0].config_watcher.send(head)
    gevent.sleep(0.1)


@when("an invalid document is written as version 2 without validation")
def step_invalid_document(context):
    head = config_store.Head(2, INVALID_DOCUMENT, "broken", "test", "now", "broken")
    context.deployment.platform.table.transact(config_store.head_writes(head, head.version - 1))


@when("{seconds:d} real seconds pass")
def step_real(context, seconds):
    gevent.sleep(seconds)


@when('preset "{preset}" is put in force at the table service after version 2')
def step_after_invalid(context, preset):
    text = config_edit.apply(store(context).read_version(1).text, config_edit.set_preset(preset))
    store(context).apply(config_store.Change(2, text, "test", "repair"))


def located_routers(context) -> list:
    """Return the routers that `locate` lists."""
    address = support.router_address(context.deployment)
    return support.send(address, "GET", "/v1/locate?all=true").json()["routers"]


@then("locate lists {count:d} routers")
def step_located(context, count):
    streams_steps.wait_for(lambda: len(located_routers(context)) == count)


@when("a stream of {count:d} words runs through router {number:d} and router {number:d} is stopped")
def step_stop(context, count, number):
    client = support.openai_client(context.deployment, "caseworkers", number - 1)
    model = context.deployment.document.models[0].name
    stream = gevent.spawn(support.stream_text, client, model, "short", "question", count)
    gevent.sleep(0.3)
    context.left = context.deployment.routers[number - 1].stop()
    context.responses.append(stream.get())


@then("the stream is one complete response of {count:d} words")
def step_stream_whole(context, count):
    assert standin_response.is_complete_response(context.responses[-1][0], count), context.responses


@then("router {number:d} left {count:d} requests unfinished")
def step_left(context, number, count):
    assert context.left == count


@then('every router refuses the poison text of team "{team}"')
def step_refuse_everywhere(context, team):
    key = context.deployment.key(team)
    body = callers_steps.chat(messages=[{"role": "user", "content": context.poison}])

    def is_quarantined_everywhere() -> bool:
        found = [r.dispatcher.quarantine.verdicts for r in context.deployment.routers]
        return all(found)

    streams_steps.wait_for(is_quarantined_everywhere)
    for position in range(len(context.deployment.routers)):
        address = support.router_address(context.deployment, position)
        reply = support.send(address, "POST", callers_steps.CHAT, key, body)
        assert reply.json()["error"]["type"] == "request_quarantined", reply


@when('the VM list says that "{name}" is leaving')
def step_leaving(context, name):
    context.status, context.output = 0, ""
    context.deployment.platform.vms.set_leaving(name)


def relays(context) -> list[bool]:
    """Return for each router whether it is a relay, which reads the VM list often."""
    return [item.vm_watcher.is_relay for item in context.deployment.routers]


@when("all routers know which of them are relays")
def step_relays(context):
    data_centres = len(context.deployment.document.deployment.data_centres)
    count = membership.RELAYS_PER_DATA_CENTRE * data_centres
    streams_steps.wait_for(lambda: sum(relays(context)) == count)


def vm_list_reads(router) -> float:
    """Return how many times a router read the VM list."""
    found = router.meters.registry.get_sample_value(
        "bronzemux_platform_calls_total", {"purpose": "vms", "result": "ok"}
    )
    return found or 0.0


@then("in {seconds:d} seconds routers that are not relays read the VM list at most once")
def step_vm_list_reads(context, seconds):
    routers = context.deployment.routers
    before = [vm_list_reads(item) for item in routers]
    gevent.sleep(seconds)
    counts = [vm_list_reads(item) - old for item, old in zip(routers, before, strict=True)]
    assert all(n <= 1 for n, is_relay in zip(counts, relays(context), strict=True) if not is_relay)
    assert any(
        n > 1 for n, is_relay in zip(counts, relays(context), strict=True) if is_relay
    ), counts


@given('team "{team}" may send {count:d} requests per second')
def step_limit(context, team, count):
    def change(document) -> None:
        config_edit.set_limits(team, support.limits(count))(document)

    porcelain.edit_config(store(context), change, "test", "limits")
    streams_steps.wait_for(
        lambda: all(r.status.snapshot.version == 2 for r in context.deployment.routers)
    )


@when(
    'team "{team}" sends {rate:d} requests per second for {seconds:d} seconds through all routers'
)
def step_rate(context, team, rate, seconds):
    key = context.deployment.key(team)
    jobs = []
    for number in range(rate * seconds):
        address = support.router_address(context.deployment, number % 3)
        jobs.append(
            gevent.spawn(
                support.send, address, "POST", callers_steps.CHAT, key, callers_steps.chat()
            )
        )
        gevent.sleep(1 / rate)
    gevent.joinall(jobs, raise_error=True)
    context.statuses = [job.value.status for job in jobs]
    assert set(context.statuses) <= {200, 429}, set(context.statuses)


@then("at most {count:d} of them were answered")
def step_at_most(context, count):
    assert context.statuses.count(200) <= count, context.statuses.count(200)


@then("at least {count:d} of them were answered")
def step_at_least(context, count):
    assert context.statuses.count(200) >= count, context.statuses.count(200)


def try_change(context, name: str):
    """Change version 1 over the platform's HTTP interface, as an operator.

    Returns:
      The change, and the accepted head or the conflict.
    """
    access = config_store.ConfigStore(support.http_table(context.deployment), clock.SystemClock())
    text = context.deployment.text + f"\n# changed by {name}\n"
    change = config_store.Change(1, text, name, f"change of {name}", f"id-{name}")
    try:
        return change, access.apply(change)
    except errors.ConfigConflictError as error:
        return change, error


@when("two operators change version 1 at once and {answers}")
def step_race(context, answers):
    if "lost" in answers:
        context.deployment.platform.faults.lost_answers = 1
    jobs = [gevent.spawn(try_change, context, name) for name in ("one", "two")]
    gevent.joinall(jobs, raise_error=True)
    context.results = [job.value for job in jobs]


@then("one change is accepted and the other gets a conflict that names the winner")
def step_one_winner(context):
    heads = [r for _, r in context.results if isinstance(r, config_store.Head)]
    conflicts = [r for _, r in context.results if isinstance(r, errors.ConfigConflictError)]
    assert len(heads) == 1 and len(conflicts) == 1, context.results
    assert heads[0].operator in str(conflicts[0]), conflicts[0]


@then("a retry of the accepted change returns version {version:d}")
def step_retry(context, version):
    change = next(c for c, r in context.results if isinstance(r, config_store.Head))
    access = config_store.ConfigStore(support.http_table(context.deployment), clock.SystemClock())
    assert access.apply(change).version == version


@given("a peer server that accepted a connection and was closed")
def step_closed_server(context):
    server = peers.PeerServer("127.0.0.1", 0, lambda frame: None)
    server.start()
    with socket.create_connection(("127.0.0.1", server.port)) as sock:
        gevent.sleep(0.05)
        context.descriptors = (server.acceptor.socket.fileno(), sock.fileno() + 1)
    server.close()


def send_until_reset(target) -> bool:
    """Return whether a send that blocks on full buffers fails once the peer closes.

    Args:
      target: Host and port to listen on.
    """
    with socket.create_server(target) as listener:
        sender = socket.create_connection(listener.getsockname())
        peer, _ = listener.accept()
        gevent.spawn_later(0.05, peer.close)
        try:
            sender.sendall(bytes(LARGE_BYTES))
        except OSError:
            return True
        finally:
            sender.close()
    return False


@when("new sockets reuse its descriptor numbers and their peers reset them")
def step_reuse(context):
    context.send_failed = []
    held = []
    try:
        for _ in range(max(context.descriptors) + 1):
            attempt = gevent.spawn(send_until_reset, ("127.0.0.1", 0))
            context.send_failed.append(attempt.get(timeout=HANG_SECONDS))
            held.append(os.open(os.devnull, os.O_RDONLY))
    finally:
        for number in held:
            os.close(number)


@then("each of them gets an error")
def step_all_failed(context):
    assert all(context.send_failed), context.send_failed
