"""Replay of seeded traffic through the dispatchers on a fake clock, with small fake engines."""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

import ddsketch

from bronzemux import clock as clocks
from bronzemux import (
    config,
    dispatcher,
    engine,
    errors,
    fleet,
    messages,
    metrics,
    policies,
    requests,
    traffic,
)
from bronzemux import snapshot as snapshots

REPORT_SECONDS = 0.25
REPORT_LAG_SECONDS = 0.2
NETWORK_SECONDS = 0.001
TOKEN_SECONDS = 0.004
TICK_SECONDS = 0.25
SKETCH_ACCURACY = 0.01
PERCENTILES = (50.0, 95.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True)
class Summary:
    """Figures of one run or one phase of it.

    Attributes:
      policy: Name of the policy.
      requests: Requests that arrived.
      answered: Requests with a whole answer.
      shed: Requests that were refused as not run.
      failed: Requests that ended otherwise.
      attempts: Attempts at endpoints.
      prompt_tokens: Tokens of the prompts of all attempts.
      computed_tokens: Tokens that engines computed.
      compulsory_tokens: Tokens that must be computed at least once.
      lost_tokens: Tokens computed again because a crash took the only copy.
      first_token: Seconds to the first token, by percentile.
      team_first_token: Seconds to the first token of 99 in 100, by team.
      goodput: Answers a second within their objective.
    """

    policy: str
    requests: int
    answered: int
    shed: int
    failed: int
    attempts: int
    prompt_tokens: int
    computed_tokens: int
    compulsory_tokens: int
    lost_tokens: int
    first_token: dict[float, float]
    team_first_token: dict[str, float]
    goodput: float

    @property
    def hit_rate(self) -> float:
        """Return the share of prompt tokens found in caches."""
        return 1.0 - self.computed_tokens / max(1, self.prompt_tokens)

    @property
    def bound_hit_rate(self) -> float:
        """Return the hit rate with compulsory misses only."""
        return 1.0 - self.compulsory_tokens / max(1, self.prompt_tokens)

    @property
    def waste_ratio(self) -> float:
        """Return computed tokens as a multiple of compulsory ones."""
        return self.computed_tokens / max(1, self.compulsory_tokens)

    @property
    def waste_ratio_after_losses(self) -> float:
        """Return computed tokens as a multiple of compulsory ones and those lost in crashes."""
        return self.computed_tokens / max(1, self.compulsory_tokens + self.lost_tokens)

    @property
    def retry_ratio(self) -> float:
        """Return attempts after the first as a share of requests."""
        return max(0, self.attempts - self.answered - self.failed) / max(1, self.requests)


@dataclasses.dataclass(frozen=True)
class Feedback:
    """What routers learn from endpoints beside answers.

    Attributes:
      report_seconds: Time between reports of load.
      has_events: Whether reports carry cache events.
    """

    report_seconds: float = REPORT_SECONDS
    has_events: bool = True


class Recorder:
    """Collects the figures of one phase.

    Args:
      policy: Name of the policy.
    """

    def __init__(self, policy: str):
        self.policy = policy
        self.counts: collections.Counter[str] = collections.Counter()
        self.sketch = ddsketch.DDSketch(SKETCH_ACCURACY)
        self.teams: dict[str, ddsketch.DDSketch] = {}

    def first_token(self, team: str, seconds: float) -> None:
        """Record a time to first token."""
        self.sketch.add(seconds)
        if team not in self.teams:
            self.teams[team] = ddsketch.DDSketch(SKETCH_ACCURACY)
        self.teams[team].add(seconds)

    def summary(self, seconds: float) -> Summary:
        """Return the figures.

        Args:
          seconds: Length of the phase.
        """
        count = self.counts
        return Summary(
            policy=self.policy,
            requests=count["requests"],
            answered=count["answered"],
            shed=count["shed"],
            failed=count["failed"],
            attempts=count["attempts"],
            prompt_tokens=count["prompt_tokens"],
            computed_tokens=count["computed_tokens"],
            compulsory_tokens=count["compulsory_tokens"],
            lost_tokens=count["lost_tokens"],
            first_token={p: _quantile(self.sketch, p) for p in PERCENTILES},
            team_first_token={t: _quantile(s, 99.0) for t, s in sorted(self.teams.items())},
            goodput=count["good"] / seconds,
        )


def _quantile(sketch: ddsketch.DDSketch, percentile: float) -> float:
    return float(sketch.get_quantile_value(percentile / 100.0) or 0.0)


@dataclasses.dataclass
class Job:
    """One attempt at a fake engine."""

    arrival: traffic.Arrival
    request: requests.ModelRequest
    assignment: messages.Assignment
    router: int
    cached_tokens: int = 0


class FakeEngine:
    """Engine with a serial prefill, slots for decoding and a bounded prefix cache.

    Args:
      endpoint: Configured sizes.
      piece_tokens: Tokens of one piece.
      run: The replay that it belongs to.
    """

    def __init__(self, endpoint: config.Endpoint, piece_tokens: int, run: "Replay"):
        self.endpoint = endpoint
        self.piece_tokens = piece_tokens
        self.run = run
        self.slowness = 1.0
        self.is_up = True
        self.restarts = 0
        self.reset()

    def reset(self) -> None:
        """Start with an empty cache and no work."""
        self.cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.log: list[tuple[int, bool]] = []
        self.sequence = 0
        self.waiting: list[tuple[int, int, Job]] = []
        self.counter = itertools.count()
        self.active: list[Job] = []
        self.is_prefilling = False
        self.generation = getattr(self, "generation", 0) + 1

    @property
    def incarnation(self) -> str:
        """Return the identity of the process."""
        return f"{self.endpoint.name}-{self.restarts}"

    def accept(self, job: Job) -> None:
        """Take a job, or fail it when the engine is down."""
        if not self.is_up:
            self.run.attempt_failed(job, errors.EndpointUnreachableError("down", "none"))
            return
        self.active.append(job)
        priority = job.request.head.workload.priority
        heapq.heappush(self.waiting, (priority, next(self.counter), job))
        self._start_prefill()

    def _start_prefill(self) -> None:
        running = len(self.active) - len(self.waiting)
        if self.is_prefilling or not self.waiting or running >= self.endpoint.slots:
            return
        self.is_prefilling = True
        job = heapq.heappop(self.waiting)[2]
        held = self._lookup(job.assignment.variant.chain)
        job.cached_tokens = held * self.piece_tokens
        missing = job.request.tokens - job.cached_tokens
        self.run.count_prompt(job, missing)
        seconds = missing / self.endpoint.prefill_tokens_per_second * self.slowness
        self.run.after(seconds, self._end_prefill, job, self.generation)

    def _lookup(self, chain: tuple[int, ...]) -> int:
        held = 0
        for key in chain:
            if key not in self.cache:
                break
            self.cache.move_to_end(key)
            held += 1
        return held

    def _end_prefill(self, job: Job, generation: int) -> None:
        if generation != self.generation:
            return
        self._store(job.assignment.variant.chain)
        self.is_prefilling = False
        self.run.first_token(job)
        seconds = job.arrival.answer_tokens * TOKEN_SECONDS * self.slowness
        self.run.after(seconds, self._end, job, generation)
        self._start_prefill()

    def _store(self, chain: tuple[int, ...]) -> None:
        for key in chain:
            if key not in self.cache:
                self.log.append((key, True))
            self.cache[key] = None
            self.cache.move_to_end(key)
        while len(self.cache) > self.endpoint.cache_pieces:
            key, _ = self.cache.popitem(last=False)
            self.log.append((key, False))

    def _end(self, job: Job, generation: int) -> None:
        if generation != self.generation:
            return
        self.active.remove(job)
        self.run.answered(job, self.incarnation)
        self._start_prefill()

    def crash(self) -> None:
        """Lose all work and the cache."""
        self.is_up = False
        lost, self.active = self.active, []
        self.reset()
        for job in lost:
            self.run.attempt_failed(job, errors.EndpointLostError("crashed", "none"))

    def restart(self) -> None:
        """Come back as a new incarnation."""
        self.is_up = True
        self.restarts += 1

    def report(self) -> engine.EngineState:
        """Return the load and the cache events since the last report."""
        events, self.log = self.log, []
        first = self.sequence + 1
        self.sequence += len(events)
        load = fleet.LoadReport(
            endpoint=self.endpoint.name,
            incarnation=self.incarnation,
            running=len(self.active) - len(self.waiting) - self.is_prefilling,
            waiting=len(self.waiting) + self.is_prefilling,
        )
        batch = engine.EventBatch(
            incarnation=self.incarnation,
            first=first,
            last=self.sequence,
            stored=tuple(key for key, is_stored in events if is_stored),
            evicted=tuple(key for key, is_stored in events if not is_stored),
        )
        return engine.EngineState(load, batch)


class Reply:
    """Place for a dispatcher's reply that tells the replay at once.

    Args:
      run: The replay.
      arrival: The request as it arrived.
      router: Number of the router.
    """

    def __init__(self, run: "Replay", arrival: traffic.Arrival, router: int):
        self.run = run
        self.arrival = arrival
        self.router = router

    def set(self, assignment: messages.Assignment) -> None:
        """Take an assignment."""
        self.run.assigned(self.arrival, assignment, self.router)

    def set_exception(self, error: errors.RequestError) -> None:
        """Take a refusal."""
        self.run.refused(self.arrival, self.router, error)


class Replay:
    """One run of traffic under one policy.

    Args:
      plan: The traffic.
      document: Configuration with the endpoints' sizes.
      policy: Returns a policy for each router.
      feedback: What the routers learn from endpoints beside answers.
    """

    def __init__(
        self,
        plan: traffic.Traffic,
        document: config.Config,
        policy: Callable,
        feedback: Feedback = Feedback(),  # noqa: B008 - frozen
    ):
        self.plan = plan
        self.document = document
        self.snapshot = snapshots.build(1, document)
        self.policy = policy
        self.feedback = feedback
        self.clock = clocks.FakeClock()
        self.random = random.Random(plan.seed + 1)
        self.queue: list[tuple[float, int, Callable, tuple]] = []
        self.counter = itertools.count()
        self.piece_tokens = document.deployment.piece_bytes // config.BYTES_PER_TOKEN
        self.engines = {
            endpoint.name: FakeEngine(endpoint, self.piece_tokens, self)
            for endpoint in document.endpoints
            if endpoint.kind == "model"
        }
        self.loss = 0.0
        self.seen: set[int] = set()
        self.lost: set[int] = set()
        self.excluded: dict[int, frozenset[str]] = {}
        self.attempts: collections.Counter[int] = collections.Counter()
        self.started: set[int] = set()
        self.boundaries = sorted({0.0, *(fault.at_seconds for fault in plan.faults)})
        self.recorders = [Recorder(policy().name) for _ in self.boundaries]
        self.total = Recorder(policy().name)
        self.dispatchers = [self._dispatcher(i) for i in range(plan.routers)]

    def _dispatcher(self, position: int) -> dispatcher.Dispatcher:
        data_centres = self.document.deployment.data_centres
        settings = dispatcher.DispatcherSettings(
            data_centres[position % len(data_centres)], policy=self.policy()
        )
        result = dispatcher.Dispatcher(settings, self.clock, metrics.Metrics())
        result.handle(messages.PeerCount(self.plan.routers))
        result.handle(messages.SnapshotChanged(self.snapshot))
        return result

    # Time

    def after(self, seconds: float, function: Callable, *args) -> None:
        """Call a function later."""
        at = self.clock.monotonic() + seconds
        heapq.heappush(self.queue, (at, next(self.counter), function, args))

    def run(self) -> Summary:
        """Run to the end and return the figures of the whole run."""
        self._arrivals = traffic.arrivals(self.plan)
        self._next_arrival()
        for fault in self.plan.faults:
            self.after(fault.at_seconds, self._fault, fault)
        for item in self.engines.values():
            self.after(self.random.random() * self.feedback.report_seconds, self._report, item)
        self.after(TICK_SECONDS, self._tick)
        while self.queue:
            at, _, function, args = heapq.heappop(self.queue)
            self.clock.advance(at - self.clock.monotonic())
            function(*args)
        return self.total.summary(self.plan.duration_seconds)

    def phases(self) -> list[tuple[float, Summary]]:
        """Return the figures of each phase, which begins at a fault."""
        ends = [*self.boundaries[1:], self.plan.duration_seconds]
        return [
            (start, recorder.summary(max(0.001, end - start)))
            for start, end, recorder in zip(self.boundaries, ends, self.recorders, strict=True)
        ]

    def _is_over(self) -> bool:
        return self.clock.monotonic() > self.plan.duration_seconds

    def _tick(self) -> None:
        for item in self.dispatchers:
            item.tick()
        if not self._is_over() or any(len(item.queue) for item in self.dispatchers):
            self.after(TICK_SECONDS, self._tick)

    def _report(self, item: FakeEngine) -> None:
        if not self._is_over():
            self.after(self.feedback.report_seconds, self._report, item)
        if not item.is_up:
            self.after(REPORT_LAG_SECONDS, self._send, messages.EndpointDown(item.endpoint.name), 0)
            return
        state = item.report()
        if not self.feedback.has_events:
            none = dataclasses.replace(state.events, stored=(), evicted=())
            state = dataclasses.replace(state, events=none)
        self.after(REPORT_LAG_SECONDS, self._deliver, item.endpoint.name, state)

    def _deliver(self, name: str, state: engine.EngineState) -> None:
        for position in range(len(self.dispatchers)):
            if self.loss and self.random.random() < self.loss:
                lost = dataclasses.replace(state.events, stored=(), evicted=())
                kept = dataclasses.replace(state, events=lost)
                self._handle(position, messages.EndpointReport(name, kept, True))
            else:
                self._handle(position, messages.EndpointReport(name, state, False))

    def _send(self, message, _unused: int) -> None:
        for position in range(len(self.dispatchers)):
            self._handle(position, message)

    def _handle(self, position: int, message) -> None:
        self.dispatchers[position].handle(message)

    # Requests

    def _next_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self.after(arrival.at - self.clock.monotonic(), self._arrive, arrival)

    def _arrive(self, arrival: traffic.Arrival) -> None:
        self._next_arrival()
        self._count(arrival, "requests")
        self.admit(arrival, arrival.router, False)

    def admit(self, arrival: traffic.Arrival, router: int, is_retry: bool) -> None:
        """Hand a request to a router."""
        request = self._request(arrival)
        excluded = self.excluded.get(arrival.number, frozenset())
        reply = Reply(self, arrival, router)
        self._handle(router, messages.Admit(request, reply, excluded, is_retry=is_retry))

    def _request(self, arrival: traffic.Arrival) -> requests.ModelRequest:
        team = next(t for t in self.document.teams if t.name == arrival.team)
        model = self.document.models[0]
        workload = next(w for w in self.document.workloads if w.idempotent and w.models)
        head = requests.Head(
            id=str(arrival.number),
            team=team,
            snapshot=self.snapshot,
            workload=workload,
            idempotency_key="",
            arrived=arrival.at,
            deadline=arrival.at + workload.objective.deadline_seconds,
        )
        return requests.ModelRequest(
            head=head,
            path="",
            model=model.name,
            adapter="",
            variants=(
                requests.Variant(model.weights_version, b"", traffic.chain(self.plan, arrival)),
            ),
            tokens=traffic.tokens(self.plan, arrival, self.piece_tokens),
            max_tokens=arrival.answer_tokens,
            body=b"",
            wants_stream=True,
            wants_usage=True,
            fingerprint=str(arrival.number),
        )

    def assigned(self, arrival: traffic.Arrival, assignment: messages.Assignment, router: int):
        """Send a request to the engine that was chosen."""
        self._count(arrival, "attempts")
        self.attempts[arrival.number] += 1
        job = Job(arrival, assignment.request, assignment, router)
        self.after(NETWORK_SECONDS, self.engines[assignment.endpoint.name].accept, job)

    def refused(self, arrival: traffic.Arrival, router: int, error: errors.RequestError) -> None:
        """Count a request that was refused."""
        del error
        self._count(arrival, "failed" if self.attempts[arrival.number] else "shed")
        self._ended(router, arrival)

    def count_prompt(self, job: Job, missing: int) -> None:
        """Count the tokens of a prompt that an engine computes."""
        fresh = [key for key in job.assignment.variant.chain if key not in self.seen]
        again = [key for key in job.assignment.variant.chain if key in self.lost]
        self.seen.update(fresh)
        self.lost.difference_update(again)
        self._count(job.arrival, "lost_tokens", len(again) * self.piece_tokens)
        question = job.request.tokens - len(job.assignment.variant.chain) * self.piece_tokens
        compulsory = len(fresh) * self.piece_tokens + question
        self._count(job.arrival, "prompt_tokens", job.request.tokens)
        self._count(job.arrival, "computed_tokens", missing)
        self._count(job.arrival, "compulsory_tokens", compulsory)

    def first_token(self, job: Job) -> None:
        """Record the first token of a request."""
        seconds = self.clock.monotonic() - job.arrival.at
        if job.arrival.number not in self.started:
            self.started.add(job.arrival.number)
            for recorder in self._of(job.arrival):
                recorder.first_token(job.arrival.team, seconds)
            if seconds <= job.request.head.workload.objective.first_token_seconds:
                self._count(job.arrival, "good")
        self._handle(job.router, messages.FirstPart(job.assignment, seconds))

    def answered(self, job: Job, incarnation: str) -> None:
        """Count a whole answer."""
        self._count(job.arrival, "answered")
        ended = messages.AttemptEnded(
            job.assignment, None, job.request.tokens, job.cached_tokens, incarnation
        )
        self._handle(job.router, ended)
        self._ended(job.router, job.arrival)

    def attempt_failed(self, job: Job, error: errors.EndpointError) -> None:
        """Try a request again elsewhere."""
        self._handle(job.router, messages.AttemptEnded(job.assignment, error))
        name = job.assignment.endpoint.name
        number = job.arrival.number
        self.excluded[number] = self.excluded.get(number, frozenset()) | {name}
        if self.attempts[number] >= self.snapshot.preset.retry_attempts:
            self._count(job.arrival, "failed")
            self._ended(job.router, job.arrival)
            return
        self.admit(job.arrival, job.router, True)

    def _ended(self, router: int, arrival: traffic.Arrival) -> None:
        self._handle(router, messages.RequestEnded(self._request(arrival)))

    def _of(self, arrival: traffic.Arrival) -> tuple[Recorder, Recorder]:
        phase = sum(1 for start in self.boundaries if start <= arrival.at) - 1
        return self.total, self.recorders[phase]

    def _count(self, arrival: traffic.Arrival, name: str, amount: int = 1) -> None:
        for recorder in self._of(arrival):
            recorder.counts[name] += amount

    # Faults

    def _fault(self, fault: traffic.Fault) -> None:
        if fault.kind == "crash":
            self._note_losses(self.engines[fault.target])
            self.engines[fault.target].crash()
            self.after(fault.seconds, self.engines[fault.target].restart)
        elif fault.kind == "gaps":
            self.loss = fault.factor
            self.after(fault.seconds, self._end_gaps)
        elif fault.kind == "slow":
            self._slow(fault.target, fault.factor)
            self.after(fault.seconds, self._slow, fault.target, 1.0)
        elif fault.kind == "herd-restart":
            self._restart_routers()

    def _note_losses(self, crashed: FakeEngine) -> None:
        """Remember the pieces whose only copy is at an engine that crashes."""
        others = [item for item in self.engines.values() if item is not crashed]
        held = (key for key in crashed.cache if not any(key in item.cache for item in others))
        self.lost.update(held)

    def _end_gaps(self) -> None:
        self.loss = 0.0

    def _slow(self, target: str, factor: float) -> None:
        for item in self.engines.values():
            if target in (item.endpoint.data_centre, item.endpoint.name):
                item.slowness = factor

    def _restart_routers(self) -> None:
        """Replace all routers; their memory is lost, the requests in engines go on."""
        for position, old in enumerate(self.dispatchers):
            waiting = [ticket.payload for ticket in old.queue]
            self.dispatchers[position] = self._dispatcher(position)
            for message in waiting:
                self.dispatchers[position].handle(message)


POLICIES: dict[str, Callable[[], policies.Policy]] = {
    policy.name: policy
    for policy in (
        policies.ReuseAndLoad,
        policies.RoundRobin,
        policies.LeastLoad,
        policies.Rendezvous,
    )
}
