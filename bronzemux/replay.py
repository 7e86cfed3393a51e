"""Replay of seeded traffic through the dispatchers on a fake clock, with small fake engines."""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from bronzemux import clock as clocks
from bronzemux import (
    config,
    dispatcher,
    engine,
    errors,
    fake_engine,
    figures,
    messages,
    metrics,
    policies,
    requests,
    standin_cache,
    traffic,
)
from bronzemux import snapshot as snapshots

REPORT_SECONDS = 0.25
REPORT_LAG_SECONDS = 0.2
NETWORK_SECONDS = 0.001
TICK_SECONDS = 0.25


@dataclasses.dataclass(frozen=True)
class Feedback:
    """What routers learn from endpoints beside answers.

    Attributes:
      report_seconds: Time between reports of load.
      has_events: Whether reports carry cache events.
    """

    report_seconds: float = REPORT_SECONDS
    has_events: bool = True


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
            endpoint.name: fake_engine.FakeEngine(endpoint, self.piece_tokens, self)
            for endpoint in document.endpoints
            if endpoint.kind == "model"
        }
        cache_store = document.cache_store or config.CacheStore("none")
        self.store = standin_cache.CacheStore(cache_store.tokens_per_second)
        self.loss = 0.0
        self.seen: set[int] = set()
        self.lost: set[int] = set()
        self.excluded: dict[int, frozenset[str]] = {}
        self.attempts: collections.Counter[int] = collections.Counter()
        self.started: set[int] = set()
        self.boundaries = sorted({0.0, *(fault.at_seconds for fault in plan.faults)})
        self.recorders = [figures.Recorder(policy().name) for _ in self.boundaries]
        self.total = figures.Recorder(policy().name)
        self.dispatchers = [self._dispatcher(i) for i in range(plan.routers)]

    def _dispatcher(self, position: int) -> dispatcher.Dispatcher:
        data_centres = self.document.deployment.data_centres
        settings = dispatcher.DispatcherSettings(
            data_centres[position % len(data_centres)], policy=self.policy()
        )
        result = dispatcher.Dispatcher(settings, self.clock, metrics.Metrics())
        result.handle(messages.RouterCount(self.plan.routers))
        result.handle(messages.SnapshotChanged(self.snapshot))
        return result

    # Time

    def after(self, seconds: float, function: Callable, *args) -> None:
        """Call a function later."""
        at = self.clock.monotonic() + seconds
        heapq.heappush(self.queue, (at, next(self.counter), function, args))

    def run(self) -> figures.Summary:
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

    def phases(self) -> list[tuple[float, figures.Summary]]:
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

    def _report(self, item: fake_engine.FakeEngine) -> None:
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
        metadata = requests.RequestMetadata(
            id=str(arrival.number),
            team=team,
            snapshot=self.snapshot,
            workload=workload,
            idempotency_key="",
            arrived=arrival.at,
            deadline=arrival.at + workload.objective.deadline_seconds,
        )
        return requests.ModelRequest(
            metadata=metadata,
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
        job = fake_engine.Job(arrival, assignment.request, assignment, router)
        self.after(NETWORK_SECONDS, self.engines[assignment.endpoint.name].accept, job)

    def refused(self, arrival: traffic.Arrival, router: int, error: errors.RequestError) -> None:
        """Count a request that was refused."""
        del error
        self._count(arrival, "failed" if self.attempts[arrival.number] else "shed")
        self._ended(router, arrival)

    def count_prompt(self, job: fake_engine.Job, missing: int) -> None:
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
        self._count(job.arrival, "imported_tokens", job.imported_tokens)
        self._count(job.arrival, "compulsory_tokens", compulsory)

    def first_token(self, job: fake_engine.Job) -> None:
        """Record the first token of a request."""
        seconds = self.clock.monotonic() - job.arrival.at
        if job.arrival.number not in self.started:
            self.started.add(job.arrival.number)
            for recorder in self._of(job.arrival):
                recorder.first_token(job.arrival.team, seconds)
            if seconds <= job.request.metadata.workload.objective.first_token_seconds:
                self._count(job.arrival, "good")
        self._handle(job.router, messages.FirstPart(job.assignment, seconds))

    def answered(self, job: fake_engine.Job, incarnation: str) -> None:
        """Count a whole answer."""
        self._count(job.arrival, "answered")
        ended = messages.AttemptEnded(
            assignment=job.assignment,
            error=None,
            prompt_tokens=job.request.tokens,
            cached_tokens=job.cached_tokens,
            incarnation=incarnation,
            imported_tokens=job.imported_tokens,
            exported_pieces=job.assignment.transfer.export_pieces,
        )
        self._handle(job.router, ended)
        self._ended(job.router, job.arrival)

    def attempt_failed(self, job: fake_engine.Job, error: errors.EndpointError) -> None:
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

    def _of(self, arrival: traffic.Arrival) -> tuple[figures.Recorder, figures.Recorder]:
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

    def _note_losses(self, crashed: fake_engine.FakeEngine) -> None:
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
        for item in self.engines.values():
            if item.is_up and self.feedback.has_events:
                self.after(REPORT_LAG_SECONDS, self._deliver, item.endpoint.name, item.whole())


POLICIES: dict[str, Callable[[], policies.Policy]] = {
    policy.name: policy
    for policy in (
        policies.ReuseAndLoad,
        policies.RoundRobin,
        policies.LeastLoad,
        policies.Rendezvous,
    )
}
