"""Steps for streams while endpoints of several software versions serve."""

import contextlib
import dataclasses
import re
import time

import gevent
from behave import given, then, when

from bronzemux.gateway import http1
from bronzemux.platform import standin_store, standin_worker
from features import gateway_support, soak_proxy

EVENT_SECONDS = 0.1
# Above the pause after which a router looks for another endpoint.
PAUSE_SECONDS = 1.4
SILENCE_SECONDS = 30.0
# In this time a router writes down what it has to remember of a stream, or of a version.
RECORDED_SECONDS = 0.5
# Above the prompt tokens that an endpoint prefills within a request's objective.
OVERLOAD_TOKENS = 1_000_000
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: token-(\d+) (\S+)\n\n")
FAULTS = {
    "breaks off inside an event": standin_worker.Fault.CUT_STREAM,
    "sends garbage": standin_worker.Fault.GARBLE_STREAM,
    "crashes": standin_worker.Fault.CRASH_STREAM,
    "freezes": standin_worker.Fault.FREEZE_STREAM,
}
SILENCES = {"is silent": SILENCE_SECONDS, "pauses": PAUSE_SECONDS}
NAMES = {
    "an unknown attempt": "nobody-7",
    "a very long text": "x" * 9000,
    "odd characters": "stream/%00;\"' \xe9\xff {}",
    "a path": "../../software/lm",
    "an empty text": "",
    "no attempt": None,
}
PLACES = {"the first": 0, "another": 1}


@dataclasses.dataclass
class Attempt:
    """One attempt of a caller.

    Attributes:
      id: Its request id.
      status: HTTP status, 0 when there was no response.
      events: Number and software version of each event.
      is_whole: Whether the response was complete.
      seconds: Time until the response ended or the caller left.
    """

    id: str
    status: int = 0
    events: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    is_whole: bool = False
    seconds: float = 0.0


class StreamCaller:
    """A caller that takes up its stream when it has broken off.

    Args:
      site: The site.
      number: Number that tells it from others.
      path: Path of its requests.

    Attributes:
      attempts: Its attempts.
    """

    def __init__(self, site, number: int, path: str = "/classify/"):
        self.site = site
        self.path = f"{path}{number}"
        self.number = number
        self.attempts: list[Attempt] = []

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return the joined events of all attempts."""
        return [event for attempt in self.attempts for event in attempt.events]

    def first_id(self) -> str:
        """Return the id of the attempt that brought the first event."""
        return next(attempt.id for attempt in self.attempts if attempt.events)

    def stream(self, index: int, last: int = standin_worker.STREAM_EVENTS, **fields) -> Attempt:
        """Send one attempt and read its response.

        Args:
          index: Index of the router.
          last: Event after which the caller closes the connection.
          **fields: Header fields, as for `Site.encode`.
        """
        attempt = Attempt(f"c{self.number}-{len(self.attempts) + 1}")
        self.attempts.append(attempt)
        started_at = time.monotonic()
        data = self.site.encode(
            self.path,
            body=f"question {self.number}".encode(),
            Request_Id=attempt.id,
            Deadline_Ms="5000",
            Prompt_Prefix=f"{self.number:02x}:50,bb:50",
            **fields,
        )
        with self.site.connect(index) as sock:
            sock.sendall(data)
            self._read(http1.Channel(sock), attempt, last)
        attempt.seconds = time.monotonic() - started_at
        return attempt

    def take_up(self, index: int, last: int = standin_worker.STREAM_EVENTS, **fields) -> Attempt:
        """Go on after the last event at a router; the arguments are those of `stream`."""
        values = {"Last_Event_Id": str(self.events[-1][0]), "Resumes": self.first_id()}
        return self.stream(index, last, **(values | fields))

    def _read(self, channel: http1.Channel, attempt: Attempt, last: int) -> None:
        body = bytearray()
        try:
            head = channel.read_head()
            if head is None:
                return
            attempt.status = int(head.start_line[1])
            for piece in channel.iter_body(http1.response_framing(head, "POST")):
                body += piece
                found = EVENT_PATTERN.findall(body)
                attempt.events = [(int(n), software.decode()) for n, _, software in found]
                is_enough = last < standin_worker.STREAM_EVENTS
                if is_enough and attempt.events and attempt.events[-1][0] >= last:
                    return
            attempt.is_whole = True
        except http1.EndOfStreamError:
            return


def run_all(function, callers, *args, **kwargs) -> list[Attempt]:
    """Call a method of all callers at once and return the results."""
    running = [gevent.spawn(function, caller, *args, **kwargs) for caller in callers]
    return [greenlet.get() for greenlet in running]


@contextlib.contextmanager
def preferred(context, name: str):
    """Let the first router send requests to one endpoint, as the others seem to be overloaded."""
    states = context.site.gateways[0].endpoints.states.values()
    others = [state for state in states if state.endpoint.id != name]
    for state in others:
        state.backlog_tokens += OVERLOAD_TOKENS
    yield
    for state in others:
        state.backlog_tokens -= OVERLOAD_TOKENS


def begin(context, count: int, path: str, name: str, last: int) -> list:
    """Begin streams at one endpoint through the first router and return their greenlets."""
    context.callers = [StreamCaller(context.site, n, path) for n in range(1, count + 1)]
    worker = context.site.workers[name]
    previous = len(worker.executed)
    with preferred(context, name):
        running = [gevent.spawn(caller.stream, 0, last) for caller in context.callers]
        gateway_support.wait_for(lambda: len(worker.executed) == previous + count)
    return running


def register(context, names: str, software: str) -> None:
    """Start and register endpoints."""
    for name in names.split():
        worker = context.site.add_worker(name, "lm", {gateway_support.MODEL: 1}, software=software)
        worker.marks_software = True
        worker.event_seconds = EVENT_SECONDS


def unregister(context, names: str) -> None:
    """Stop endpoints and remove their entries."""
    for name in names.split():
        context.site.workers[name].crash()
        context.site.store.remove("servers", name)
        del context.site.workers[name]


def wait_for_endpoints(context) -> None:
    """Wait until all routers know exactly the endpoints that serve, as they registered."""
    expected = {w.identity: w.started_at_ms for w in context.site.workers.values()}

    def is_known(found) -> bool:
        states = found.endpoints.states.values()
        known = {s.endpoint.id: s.endpoint.started_at_ms for s in states}
        return known == expected

    for found in context.site.gateways:
        gateway_support.wait_for(lambda found=found: is_known(found), seconds=8.0)


@given("a platform on which streams last at most {seconds:d} second")
def step_short_streams(context, seconds):
    context.site = gateway_support.Site()
    context.cleanups.append(context.site.stop)
    document = gateway_support.configuration()
    for route in document["routes"]:
        route["timeout_ms"] = 1000 * seconds
    context.site.store.put("op", "config", document)


@given('the endpoints "{names}" of software "{software}"')
def step_endpoints(context, names, software):
    register(context, names, software)


@given('"{names}" of "{software}" arrive')
def step_arrive(context, names, software):
    register(context, names, software)
    wait_for_endpoints(context)


@given("no other endpoint arrives")
def step_nothing_arrives(context):
    wait_for_endpoints(context)


@given("the endpoints have served for {seconds:g} seconds")
def step_served(context, seconds):
    gevent.sleep(seconds)


@given("a copy of the store")
def step_copy(context):
    context.copy = context.site.store.copy()


@given('the endpoint "{name}" restarts with software "{software}", and its entry stays')
@when('the endpoint "{name}" restarts with software "{software}", and its entry stays')
def step_restart(context, name, software):
    worker = context.site.workers[name]
    worker.restart(software)
    worker.started_at_ms = int(time.time() * 1000)


@given("the clock of the first router is {seconds:g} seconds ahead")
def step_clock(context, seconds):
    context.site.gateways[0].clock.step_seconds = seconds


@given("two gateways whose links can be cut")
def step_gateways_with_links(context):
    context.peer_proxies = []
    context.store_proxy = soak_proxy.Proxy(context.site.store.address)
    stores = (context.site.store.address, context.store_proxy.address)
    for store_address in stores:
        peer_address = gateway_support.free_address()
        proxy = soak_proxy.Proxy(peer_address)
        context.site.add_gateway(
            store_address=store_address,
            peer_address=peer_address,
            advertised_peer_address=proxy.address,
            seeds=tuple(found.address for found in context.peer_proxies),
        )
        context.peer_proxies.append(proxy)
    wait_for_endpoints(context)


@when("the links of the second gateway are cut for {seconds:g} seconds")
def step_cut(context, seconds):
    for proxy in (*context.peer_proxies, context.store_proxy):
        proxy.is_dropping_to_target = proxy.is_dropping_to_client = True
    gevent.sleep(seconds)


@when('the endpoints "{names}" of "{software}" reach the first gateway only')
def step_reach_first(context, names, software):
    register(context, names, software)
    first, second = context.site.gateways
    expected = set(context.site.workers)
    gateway_support.wait_for(lambda: set(first.endpoints.states) == expected)
    assert not set(names.split()) & set(second.endpoints.states)


@when("the second gateway is cut off from {links}")
def step_cut_off(context, links):
    """Cut links of the second gateway, which goes on serving callers."""
    proxies = {
        "nothing": (),
        "the other router": context.peer_proxies,
        "the store": (context.store_proxy,),
        "the responses of both": (*context.peer_proxies, context.store_proxy),
        "both, as it is paused": (*context.peer_proxies, context.store_proxy),
        "the store's feed": context.peer_proxies,
    }[links]
    for proxy in proxies:
        proxy.is_dropping_to_client = True
        proxy.is_dropping_to_target = links != "the responses of both"
    if links == "the store's feed":
        # The long polls in progress never return, while the store answers all other calls.
        platform = context.site.gateways[1].platform
        clients = [platform.table.client]
        clients += [source.read_client for source in platform.feeds.values()]
        for client in clients:
            while client.idle_connections:
                client.idle_connections.pop().close()
        context.store_proxy.blackhole_connections()


@when("writes of the gateways to the store take {seconds:g} seconds")
def step_slow_writes(context, seconds):
    for found in context.site.gateways:
        table = found.platform.table

        def transact(writes, write=table.transact):
            gevent.sleep(seconds)
            return write(writes)

        table.transact = transact


def begin_at_once(context, count: int, name: str) -> None:
    """Break streams of an endpoint through the first router as soon as that knows it."""
    first = context.site.gateways[0]
    expected = {w.identity: w.started_at_ms for w in context.site.workers.values()}

    def is_known() -> bool:
        states = first.endpoints.states.values()
        return {s.endpoint.id: s.endpoint.started_at_ms for s in states} == expected

    gateway_support.wait_for(is_known)
    context.site.workers[name].event_seconds = 0.01
    gevent.joinall(begin(context, count, "/classify/", name, 2), raise_error=True)


@when(
    '"{names}" join of "{software}", and the streams of {count:d} callers from "{name}" break at once'
)
def step_join(context, names, software, count, name):
    register(context, names, software)
    begin_at_once(context, count, name)


@when(
    '"{old}" comes back of "{software}", and the streams of {count:d} callers from "{name}" break '
    "at once"
)
def step_come_back(context, old, software, count, name):
    worker = context.site.workers[old]
    worker.restart(software)
    context.site.store.put("servers", old, worker.entry())
    begin_at_once(context, count, name)


@when(
    '"{new}" joins at "{old}"\'s address of "{software}", and the streams of {count:d} callers from '
    '"{name}" break at once'
)
def step_join_at_address(context, new, old, software, count, name):
    worker = context.site.workers.pop(old)
    worker.identity = new
    worker.restart(software)
    context.site.workers[new] = worker
    context.site.store.remove("servers", old)
    context.site.store.put("servers", new, worker.entry())
    begin_at_once(context, count, name)


@when("the callers return at {place} router at once and name {name}")
def step_return_at_once(context, place, name):
    if name == "no attempt":
        run_all(StreamCaller.take_up, context.callers, PLACES[place], Resumes=None)
    else:
        run_all(StreamCaller.take_up, context.callers, PLACES[place])


@given('the endpoint "{name}" crashes during a stream')
def step_crash(context, name):
    context.site.workers[name].fault = standin_worker.Fault.CRASH_STREAM
    gevent.joinall(begin(context, 1, "/classify/", name, standin_worker.STREAM_EVENTS))
    state = context.site.gateways[0].endpoints.states[name]
    gateway_support.wait_for(lambda: state.is_suspected)


@given('the endpoint "{name}" crashes while it runs nothing, and refuses a connection')
def step_crash_idle(context, name):
    context.site.workers[name].crash()
    with preferred(context, name):
        attempt = StreamCaller(context.site, 99).stream(0)
    assert attempt.is_whole, attempt
    assert context.site.gateways[0].endpoints.states[name].is_suspected


@given('the heartbeats {numbers} of "{name}" arrive')
def step_heartbeats(context, numbers, name):
    state = context.site.gateways[0].endpoints.states[name]
    for number in map(int, numbers.split()):
        context.site.store.put("servers", name, context.site.workers[name].entry(sequence=number))
        gateway_support.wait_for(lambda number=number: state.endpoint.heartbeats == number)


@given('the first entry of the next process of "{name}", which has ended as well, arrives')
def step_entry_of_ended(context, name):
    states = context.site.gateways[0].endpoints.states
    entry = context.site.workers[name].entry(born=states[name].endpoint.started_at_ms + 500)
    context.site.store.put("servers", name, entry)
    gateway_support.wait_for(lambda: states[name].endpoint.started_at_ms == entry["born"])


@given(
    'the endpoint "{name}" accepts connections again with software "{software}", and its entry stays'
)
def step_accepts_again(context, name, software):
    worker = context.site.workers[name]
    worker.reopen()
    if software != worker.software:
        worker.restart(software)
    state = context.site.gateways[0].endpoints.states[name]
    gateway_support.wait_for(lambda: not state.is_suspected)


# One response


@when('{count:d} callers stream "{path}" from "{name}", which {fault} after event {last:d}')
def step_stream(context, count, path, name, fault, last):
    worker = context.site.workers[name]
    assert last == 2, "the stand-in fails after two events"
    if fault in SILENCES:
        worker.silence_seconds = SILENCES[fault]
    else:
        worker.fault = FAULTS[fault]
    gevent.joinall(begin(context, count, path, name, standin_worker.STREAM_EVENTS))


@when(
    '{count:d} callers stream "{path}" from "{name}", whose entry is written before it breaks off'
)
def step_stream_entry(context, count, path, name):
    stream_and_change(context, count, path, name, lambda: write_entry(context, name))


@when(
    '{count:d} callers stream "{path}" from "{name}", whose service is dropped before it breaks off'
)
def step_stream_dropped(context, count, path, name):
    changes = gateway_support.replaced_engines()
    stream_and_change(context, count, path, name, lambda: context.site.configure(**changes))


def stream_and_change(context, count, path, name, change) -> None:
    """Stream from an endpoint that breaks off after a change."""
    worker = context.site.workers[name]
    worker.fault = standin_worker.Fault.CUT_STREAM
    worker.event_seconds = 0.4
    running = begin(context, count, path, name, standin_worker.STREAM_EVENTS)
    gateway_support.wait_for(lambda: all(caller.events for caller in context.callers))
    change()
    assert all(len(caller.events) < 3 for caller in context.callers)
    gevent.joinall(running)


def joined(caller: StreamCaller) -> str:
    """Describe the attempts of a caller."""
    return "; ".join(str(attempt) for attempt in caller.attempts)


@then('each caller got the events {first:d} to {last:d} of software "{software}"')
def step_complete(context, first, last, software):
    expected = [(number, software) for number in range(first, last + 1)]
    for caller in context.callers:
        assert caller.events == expected and caller.attempts[-1].is_whole, joined(caller)


@then(
    'each caller got the events {first:d} to {last:d} of software "{software}" and the end within '
    "{seconds:g} second"
)
@then(
    'each caller got the events {first:d} to {last:d} of software "{software}" and the end within '
    "{seconds:g} seconds"
)
def step_cut(context, first, last, software, seconds):
    expected = [(number, software) for number in range(first, last + 1)]
    for caller in context.callers:
        (attempt,) = caller.attempts
        assert caller.events == expected and not attempt.is_whole, joined(caller)
        assert attempt.seconds < seconds, joined(caller)


@then(
    'each caller got the first events of software "{software}" only and the end within {seconds:g} '
    "second"
)
@then(
    'each caller got the first events of software "{software}" only and the end within {seconds:g} '
    "seconds"
)
def step_cut_early(context, software, seconds):
    for caller in context.callers:
        (attempt,) = caller.attempts
        expected = [(number, software) for number in range(1, 1 + len(caller.events))]
        assert caller.events == expected and len(expected) >= 2, joined(caller)
        assert not attempt.is_whole and attempt.seconds < seconds, joined(caller)


@then('the endpoints "{names}" ran nothing')
def step_ran_nothing(context, names):
    for name in names.split():
        executed = context.site.workers[name].executed
        assert not executed, [request.fields for request in executed]


# Callers that return


@when('the streams of {count:d} callers from "{name}" break after event {last:d}')
def step_begin(context, count, name, last):
    gevent.joinall(begin(context, count, "/classify/", name, last), raise_error=True)
    for caller in context.callers:
        assert [number for number, _ in caller.events] == list(range(1, last + 1)), joined(caller)
    gevent.sleep(RECORDED_SECONDS)


@when("no router fails")
def step_no_failure(context):
    wait_for_endpoints(context)


@when("the first router is killed")
def step_killed(context):
    gateway_support.stop_gateway(context.site.gateways[0])


@when("all routers lose power")
def step_power_loss(context):
    lose_power(context, lambda: None)


@when("all routers lose power, and their clocks are then {seconds:g} seconds ahead")
def step_power_loss_clocks(context, seconds):
    lose_power(context, lambda: None, seconds)


def lose_power(context, change, step_seconds: float = 0.0) -> None:
    """Stop all routers without notice, change something, and start them again."""
    for found in context.site.gateways:
        gateway_support.stop_gateway(found)
    change()
    for index in range(len(context.site.gateways)):
        context.site.restart_gateway(index, step_seconds)
    wait_for_endpoints(context)


@when('the routers are without power while "{names}" leave')
def step_leave_without_power(context, names):
    lose_power(context, lambda: unregister(context, names))


@when('the routers are without power while "{names}" leave, "{arriving}" arrives')
def step_replace_without_power(context, names, arriving):
    def change():
        unregister(context, names)
        register(context, arriving, "v2")

    lose_power(context, change)


@when("the routers are without power while the store is restored")
def step_restore_without_power(context):
    for found in context.site.gateways:
        gateway_support.stop_gateway(found)
    context.site.store.restore(context.copy)
    for index in range(len(context.site.gateways)):
        context.site.restart_gateway(index)


@when("the store is restored, and {seconds:g} seconds pass")
def step_restore(context, seconds):
    context.site.store.restore(context.copy)
    gevent.sleep(seconds)


@when('the endpoint "{name}" leaves')
def step_leave(context, name):
    worker = context.site.workers[name]
    context.site.store.put("servers", name, worker.entry(state="draining"))
    gevent.sleep(0.3)
    unregister(context, name)
    wait_for_endpoints(context)
    gevent.sleep(RECORDED_SECONDS)


def write_entry(context, name: str) -> None:
    """Write the entry of an endpoint and wait until the routers know it."""
    context.site.store.put("servers", name, context.site.workers[name].entry(sequence=2))
    wait_for_endpoints(context)


@when('the entry of "{name}" is written')
def step_write_entry(context, name):
    write_entry(context, name)


@when('the store has the fault "{fault}"')
def step_store_fault(context, fault):
    context.site.store.fault = standin_store.Fault(fault)


@when("{seconds:g} seconds pass at the routers")
def step_pass(context, seconds):
    gevent.sleep(seconds)


@when("the callers return at {place} router")
def step_return(context, place):
    run_all(StreamCaller.take_up, context.callers, PLACES[place])


@when('the callers return at the first router, which prefers "{name}"')
def step_return_preferring(context, name):
    with preferred(context, name):
        run_all(StreamCaller.take_up, context.callers, 0)


@when("the callers return at {place} router, and their streams break after event {last:d}")
def step_return_again(context, place, last):
    run_all(StreamCaller.take_up, context.callers, PLACES[place], last)
    gevent.sleep(RECORDED_SECONDS)


@when("the callers return at {place} router and name {name}")
def step_return_naming(context, place, name):
    fields = {}
    if name == "another team's attempt":
        fields["Authorization"] = f"Bearer {gateway_support.KEYS['lawyers']}"
    elif name != "their first attempt":
        fields["Resumes"] = NAMES[name]
    run_all(StreamCaller.take_up, context.callers, PLACES[place], **fields)


def check_refused(context, caller: StreamCaller, seconds: float) -> None:
    """Check that the last attempt of a caller was refused in time and ran nowhere."""
    attempt = caller.attempts[-1]
    assert attempt.status == 503 and not attempt.events, joined(caller)
    assert attempt.seconds < seconds, joined(caller)
    for worker in context.site.workers.values():
        assert all(r.fields["request-id"] != attempt.id for r in worker.executed), joined(caller)


@then("each caller is refused with 503 within {seconds:g} second, and nothing ran for it")
def step_refused(context, seconds):
    for caller in context.callers:
        check_refused(context, caller, seconds)


def check_goes_on(caller: StreamCaller) -> None:
    """Check that the events of a caller are all there and of one version."""
    versions = {software for _, software in caller.events}
    numbers = [number for number, _ in caller.events]
    assert len(versions) == 1 and caller.attempts[-1].is_whole, joined(caller)
    assert numbers == list(range(1, standin_worker.STREAM_EVENTS + 1)), joined(caller)


@then("each caller is refused with 503 within {seconds:g} second, or goes on at its version")
@then("each caller is refused with 503 within {seconds:g} seconds, or goes on at its version")
def step_refused_or_on(context, seconds):
    for caller in context.callers:
        if caller.attempts[-1].events:
            check_goes_on(caller)
        else:
            check_refused(context, caller, seconds)


@then("the callers that return at {place} router within {seconds:g} seconds go on at their version")
def step_go_on_later(context, place, seconds):
    waiting = [caller for caller in context.callers if not caller.attempts[-1].events]
    until = time.monotonic() + seconds
    while waiting and time.monotonic() < until:
        gevent.sleep(0.3)
        run_all(StreamCaller.take_up, waiting, PLACES[place])
        waiting = [caller for caller in waiting if not caller.attempts[-1].events]
    assert not waiting, [joined(caller) for caller in waiting]
    for caller in context.callers:
        check_goes_on(caller)
