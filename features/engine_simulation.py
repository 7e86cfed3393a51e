"""Simulation of engines and routers without a network, for tests of placement under load.

An engine reads prompts in pieces between the steps of its streams, holds the memory of running
requests and cached parts, and preempts when it runs short. Routers know each other's loads from
reports that are some hundred milliseconds old.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from bronzemux.gateway import cache_index, endpoints, model, placement

MODEL = "m0"
STORE = "10.0.0.9:1"
STEP_SECONDS, STEP_SECONDS_PER_STREAM = 0.0052, 0.00004
READ_TOKENS_PER_SECOND = 49_600.0
PIECE_TOKENS, TOKENS_PER_EVENT = 2048, 6
FETCH_TOKENS_PER_SECOND = 99_000.0
REPORT_SECONDS, RECHECK_SECONDS = 0.25, 0.1
LINK_SECONDS = 0.004


@dataclasses.dataclass
class Kind:
    """Requests of one kind: their rate, lengths in tokens, objective in seconds and urgency."""

    name: str
    rate: float
    shared: tuple[int, ...]
    own: int
    written: float
    objective: float
    urgency: int
    things: int
    deadline: float = 5.0


NOTES = Kind("notes", 99.0, (119, 79), 430, 49, 0.415, 0, 928, 15.0)
VERDICTS = Kind("verdicts", 125.0, (2520, 3780), 2890, 9, 0.635, 1, 1747)


@dataclasses.dataclass
class Run:
    """A request and what became of it."""

    kind: Kind
    prompt: model.Prompt
    output: int
    arrived_at: float
    router: int
    choice: placement.Choice | None = None
    left_to_read: float = 0.0
    ready_at: float = 0.0
    sent_at: float = 0.0
    held: int = 0
    written: int = 0
    first_at: float | None = None
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    done_at: float | None = None
    is_running: bool = False

    @property
    def is_late(self) -> bool:
        """Return whether the response is late, or was not completed."""
        return (
            self.done_at is None
            or self.first_at - self.arrived_at > self.kind.objective
            or self.longest_pause > 0.4
        )


class Engine:
    """One engine: `slow` is the factor of its step times."""

    def __init__(self, simulation, state, slots: int, memory: int, slow: float):
        self.simulation, self.state = simulation, state
        self.slots, self.memory, self.slow = slots, memory, slow
        self.waiting: list[tuple] = []
        self.running: list[Run] = []
        self.cached: collections.OrderedDict = collections.OrderedDict()
        self.cached_tokens = 0
        self.used = 0
        self.busy = False
        self.stops: list[tuple[float, float, float]] = []
        self.phase = random.Random(state.endpoint.id).random()

    def cached_prefix(self, keys) -> int:
        """Return the tokens of the longest cached prefix, whose parts become the newest ones."""
        found = 0
        for key, tokens in keys:
            if key not in self.cached:
                break
            self.cached.move_to_end(key)
            found = tokens
        return found

    def add_parts(self, keys) -> None:
        """Cache the parts of a prompt, as far as there is memory."""
        previous = 0
        for key, tokens in keys:
            if key not in self.cached:
                self.cached[key] = tokens - previous
                self.cached_tokens += tokens - previous
            previous = tokens
        self.shrink()

    def shrink(self) -> None:
        """Drop the oldest parts that do not fit beside the running requests."""
        while self.cached and self.used + self.cached_tokens > self.memory:
            _, tokens = self.cached.popitem(last=False)
            self.cached_tokens -= tokens

    def arrive(self, run: Run) -> None:
        """Queue a request."""
        order = next(self.simulation.numbers)
        heapq.heappush(self.waiting, (run.kind.urgency, order, run))
        self.wake()

    def wake(self) -> None:
        """Start the next step unless one is in progress."""
        if not self.busy:
            self.busy = True
            self.simulation.at(self.simulation.now, self.step)

    def admit(self) -> None:
        """Start waiting requests while there are slots and memory."""
        while self.waiting and len(self.running) < self.slots:
            run = self.waiting[0][2]
            if run.done_at is not None:
                heapq.heappop(self.waiting)
                continue
            if self.used + run.prompt.tokens > self.memory:
                if not self.preempt(run.kind.urgency):
                    return
                continue
            heapq.heappop(self.waiting)
            keys = self.simulation.keys(run.prompt)
            found = self.cached_prefix(keys)
            fetched = 0
            if run.choice.fetch_from and keys and keys[-1][0] in self.simulation.saved:
                fetched = max(0, keys[-1][1] - found)
            shared = keys[-1][1] if keys else 0
            self.simulation.read_again += shared - found - fetched
            run.left_to_read = run.prompt.tokens - found - fetched + run.written
            run.ready_at = self.simulation.now + fetched / FETCH_TOKENS_PER_SECOND
            self.add_parts(keys)
            # Parts after the first one are seldom shared by requests that run at the same time.
            for key, _ in keys[1:]:
                self.cached_tokens -= self.cached.pop(key, 0)
            run.held = run.prompt.tokens - keys[0][1] + run.written
            self.used += run.held
            run.is_running = True
            self.running.append(run)
            self.shrink()

    def preempt(self, urgency: int) -> bool:
        """Preempt the newest request that is less urgent; return whether there was one."""
        found = [run for run in self.running if run.kind.urgency > urgency]
        if not found:
            return False
        run = max(found, key=lambda r: (r.kind.urgency, r.sent_at))
        self.drop(run)
        self.simulation.preempted += 1
        heapq.heappush(self.waiting, (run.kind.urgency, next(self.simulation.numbers), run))
        return True

    def drop(self, run: Run) -> None:
        """Free the memory of a request."""
        self.running.remove(run)
        self.used -= run.held
        run.is_running = False
        self.add_parts(self.simulation.keys(run.prompt))

    def factor(self) -> float:
        """Return the factor of the step times now."""
        now = self.simulation.now
        found = self.slow
        for start, end, value in self.stops:
            if start <= now < end:
                found *= value
        if self.simulation.has_noise:
            window = int(now / 0.6 + self.phase)
            if random.Random(f"{self.state.endpoint.id}{window}").random() < 0.15:
                found *= 2.5
        return found

    def step(self) -> None:
        """Run one step and schedule its end."""
        self.admit()
        if not self.running:
            self.busy = False
            return
        now = self.simulation.now
        left, read = PIECE_TOKENS, 0.0
        writing = []
        for run in self.running:
            if run.left_to_read <= 0:
                writing.append(run)
            elif left > 0 and run.ready_at <= now:
                piece = min(left, run.left_to_read)
                run.left_to_read -= piece
                left -= piece
                read += piece * (1 + run.prompt.tokens / 110_000)
                if run.left_to_read <= 0:
                    writing.append(run)
        seconds = STEP_SECONDS + STEP_SECONDS_PER_STREAM * len(writing)
        seconds += read / READ_TOKENS_PER_SECOND
        self.simulation.read += read
        self.simulation.at(now + seconds * self.factor(), self.end_step, writing)

    def end_step(self, writing: list[Run]) -> None:
        """Count the tokens that a step wrote."""
        now = self.simulation.now
        for run in writing:
            run.written += 1
            run.held += 1
            self.used += 1
            is_done = run.written >= run.output
            if is_done or run.written % TOKENS_PER_EVENT == 0:
                self.simulation.record_event(run, now + LINK_SECONDS)
            if is_done:
                self.drop(run)
                self.simulation.finish(run)
        self.shrink()
        while self.used > self.memory and self.preempt(-1):
            pass
        self.step()


class Simulation:
    """Engines, routers and callers.

    Args:
      slow: Factor of the step times of each engine.
      kinds: Kinds of requests.
      is_grouped: Whether requests are placed by what they cost each other.
      seed: Seed of the arrivals.
      router_count: Number of routers.
    """

    def __init__(self, slow, kinds, is_grouped, seed=1, router_count=24, slots=16, memory=94_295):
        self.random = random.Random(seed)
        self.now, self.events, self.numbers = 0.0, [], itertools.count()
        self.kinds, self.is_grouped, self.slots, self.memory = kinds, is_grouped, slots, memory
        self.index = cache_index.CacheIndex()
        self.view = placement.GatewayView("a", self.index, ((STORE, "a"),))
        self.saved: set[bytes] = set()
        self.tables = [
            [self.make_state(number) for number in range(len(slow))] for _ in range(router_count)
        ]
        self.engines = [
            Engine(self, state, slots, memory, factor)
            for state, factor in zip(self.tables[0], slow, strict=True)
        ]
        self.by_id = {engine.state.endpoint.id: engine for engine in self.engines}
        self.runs: list[Run] = []
        self.read_again = self.read = 0.0
        self.preempted = 0
        self.has_noise = True
        self.swing = 0.55
        self.objects: dict = {}

    def make_state(self, number: int) -> endpoints.EndpointState:
        """Return the state of an endpoint."""
        entry = model.Endpoint(
            f"e{number}", "lm", f"10.0.1.{number}:1", "a", self.slots, False, {MODEL: 1}
        )
        state = endpoints.EndpointState(entry)
        state.weights[MODEL] = 1
        return state

    def keys(self, prompt: model.Prompt):
        """Return the keys of the prefixes of a prompt."""
        return cache_index.prefix_keys(placement.cache_salt(MODEL, 1, ""), prompt.shared_parts)

    def at(self, when: float, action, *values) -> None:
        """Schedule a call."""
        heapq.heappush(self.events, (when, next(self.numbers), action, values))

    def run(self, seconds: float, drain: float = 6.0) -> None:
        """Let requests arrive for some seconds, then wait for the rest."""
        for kind in self.kinds:
            when = 0.0
            while when < seconds:
                wave = 1 + self.swing * (2 * abs((when / 7.5) % 2 - 1) - 1)
                when += self.random.expovariate(kind.rate * wave)
                self.at(when, self.arrive, kind)
        self.at(0.0, self.report)
        while self.events and self.events[0][0] < seconds + drain:
            self.now, _, action, values = heapq.heappop(self.events)
            action(*values)

    def report(self) -> None:
        """Report the loads of all routers to all, which apply them some time later."""
        total = {}
        for states in self.tables:
            for state in states:
                load = state.reported = state.own_load(self.now)
                known = total.get(state.endpoint.id, endpoints.EndpointLoad())
                total[state.endpoint.id] = endpoints.EndpointLoad(
                    known.requests + load.requests,
                    known.tokens + load.tokens,
                    0.0,
                    known.memory + load.memory,
                    known.writers + load.writers,
                )
        for states in self.tables:
            for state in states:
                source = endpoints.ALL_ROUTERS
                state.peer_loads[source] = (total[state.endpoint.id], self.now)
        self.at(self.now + REPORT_SECONDS, self.report)

    def arrive(self, kind: Kind) -> None:
        """Let a request arrive at a router."""
        draw = self.random
        thing = int(kind.things * draw.random() ** 1.4)
        group = thing % (4 if kind.shared[0] > 1000 else 40)
        own = max(30, min(12 * kind.own, int(kind.own * draw.lognormvariate(-0.5, 1.0))))
        sizes = self.objects.setdefault(
            (kind.name, thing), max(20, int(kind.shared[1] * draw.lognormvariate(-0.245, 0.7)))
        )
        parts = (
            model.PromptPart(f"{kind.name}-g{group}", kind.shared[0]),
            model.PromptPart(f"{kind.name}-t{thing}", sizes),
            model.PromptPart("own", own),
        )
        output = max(2, int(kind.written * draw.lognormvariate(-0.3, 0.77)))
        tokens = kind.shared[0] + sizes + own
        hint = int(output * draw.lognormvariate(0, 0.5))
        prompt = model.Prompt(MODEL, tokens, int(kind.written * 4), parts, hint)
        run = Run(kind, prompt, output, self.now, draw.randrange(len(self.tables)))
        self.runs.append(run)
        self.place(run)

    def place(self, run: Run) -> None:
        """Place a request, or try again later."""
        if self.now - run.arrived_at > run.kind.deadline:
            return
        states = self.tables[run.router]
        waits = self.now - run.arrived_at < run.kind.objective
        requirements = placement.Requirements(
            run.prompt,
            "",
            run.kind.objective,
            1,
            1,
            self.slots * 2,
            max_memory_tokens=int(self.memory * 0.85) if waits else 0,
            tokens_per_event=TOKENS_PER_EVENT if self.is_grouped else 0,
        )
        choice = placement.choose_engine(states, requirements, self.view, self.now)
        if choice is None:
            self.at(self.now + RECHECK_SECONDS, self.place, run)
            return
        run.choice, run.sent_at = choice, self.now
        state = choice.state
        state.in_flight += 1
        state.backlog_tokens += choice.prefill_tokens
        state.memory_tokens += run.prompt.memory_tokens
        state.writers += self.is_writer(run)
        self.note_prefixes(run, state.endpoint.incarnation, choice.expected_seconds, self.memory)
        self.at(self.now + LINK_SECONDS, self.by_id[state.endpoint.id].arrive, run)

    def is_writer(self, run: Run) -> bool:
        """Return whether a request counts as a writer."""
        return self.is_grouped and placement.grouping.is_writer(run.prompt, TOKENS_PER_EVENT)

    def note_prefixes(self, run: Run, holder: str, seconds: float, capacity: int) -> None:
        """Record in the index that a holder has the parts of a prompt."""
        previous = 0
        for key, tokens in self.keys(run.prompt):
            item = cache_index.PrefixRecord(key, tokens - previous, holder, self.now + seconds)
            self.index.add(item, int(capacity * cache_index.CACHE_FRACTION), is_own=False)
            previous = tokens

    def record_event(self, run: Run, when: float) -> None:
        """Record an event that the caller gets."""
        if run.first_at is None:
            run.first_at = when
            state = run.choice.state
            state.backlog_tokens = max(0.0, state.backlog_tokens - run.choice.prefill_tokens)
            state.record_first_event(when - run.sent_at, run.choice.expected_seconds)
            self.note_prefixes(run, STORE, 0.1, 3_300_000)
            self.saved.update(key for key, _ in self.keys(run.prompt))
        else:
            run.longest_pause = max(run.longest_pause, when - run.last_event_at)
        run.last_event_at = when

    def finish(self, run: Run) -> None:
        """Record the end of a response."""
        run.done_at = self.now + LINK_SECONDS
        state = run.choice.state
        state.in_flight -= 1
        state.memory_tokens -= run.prompt.memory_tokens
        state.writers -= self.is_writer(run)

    def late_fraction(self, kind: Kind) -> float:
        """Return the fraction of the requests of a kind that were late."""
        found = [run for run in self.runs if run.kind is kind]
        return sum(run.is_late for run in found) / len(found)
