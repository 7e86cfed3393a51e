"""Discrete-event simulation of seeded traffic under a routing policy, on a fake clock.

The dispatchers are those of the router; engines and network are simulated. Runs are reproducible,
so that policies can be compared under the same traffic.
"""

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
    messages,
    metrics,
    policies,
    replay_summary,
    requests,
    standin_cache,
    traffic,
)
from bronzemux import snapshot as snapshots

REPORT_INTERVAL_SECONDS = 0.25
REPORT_DELAY_SECONDS = 0.2
NETWORK_DELAY_SECONDS = 0.001
TICK_SECONDS = 0.25


@dataclasses.dataclass(frozen=True)
class ReportSettings:
    """Settings of the state reports that routers receive from endpoints.

    Attributes:
      report_seconds: Interval between the reports of an endpoint.
      has_events: Whether reports carry cache events.
    """

    report_seconds: float = REPORT_INTERVAL_SECONDS
    has_events: bool = True


class AssignmentReply:
    """Receiver of the reply to an `Admit` message, which passes it to the replay synchronously.

    Args:
      replay: The replay.
      arrival: The request as the traffic generated it.
      router: Number of the router.
    """

    def __init__(self, replay: "Replay", arrival: traffic.Arrival, router: int):
        self.replay = replay
        self.arrival = arrival
        self.router = router

    def set(self, assignment: messages.Assignment) -> None:
        """Pass on an assignment."""
        self.replay.on_assigned(self.arrival, assignment, self.router)

    def set_exception(self, error: errors.RequestError) -> None:
        """Pass on a refusal."""
        self.replay.on_refused(self.arrival, self.router, error)


class Replay:
    """One run of traffic under one policy.

    Args:
      plan: The traffic.
      document: Configuration with the endpoints' throughput and capacities.
      policy: Function that returns a new policy for each router.
      report_settings: Settings of the state reports from the endpoints.

    Attributes:
      queue: Heap of scheduled calls as time, tie-breaker, function and arguments.
      event_loss_probability: Probability that a router loses the cache events of a report.
      computed_keys: Keys of the pieces that some engine has computed.
      lost_keys: Keys of the pieces whose only cached copy was lost in a crash.
      excluded_endpoints: Endpoints that failed a request, by number of the request.
      attempts: Attempts by number of the request.
      first_token_seen: Numbers of the requests that have had a first token.
      begun_software: Software version that began the response, by number of the request.
      continued: Number of attempts that continued a response.
      mixed_responses: Numbers of the requests whose response two software versions generated.
      phase_starts: Start of each phase in seconds.
      recorders: Recorder of each phase; a request counts in the phase in which it arrived.
      total: Recorder of the whole run.
    """

    def __init__(
        self,
        plan: traffic.Traffic,
        document: config.Config,
        policy: Callable,
        report_settings: ReportSettings = ReportSettings(),  # noqa: B008 - frozen
    ):
        self.plan = plan
        self.document = document
        self.snapshot = snapshots.build(1, document)
        self.policy = policy
        self.report_settings = report_settings
        self.clock = clocks.FakeClock()
        self.random = random.Random(plan.seed + 1)
        self.queue: list[tuple[float, int, Callable, tuple]] = []
        self.tie_breaker = itertools.count()
        self.piece_tokens = document.deployment.piece_bytes // config.BYTES_PER_TOKEN
        self.engines = {
            endpoint.name: fake_engine.FakeEngine(endpoint, self.piece_tokens, self)
            for endpoint in document.endpoints
            if endpoint.kind == "model"
        }
        cache_store = document.cache_store or config.CacheStore("none")
        self.store = standin_cache.CacheStore(cache_store.tokens_per_second)
        self.event_loss_probability = 0.0
        self.computed_keys: set[int] = set()
        self.lost_keys: set[int] = set()
        self.excluded_endpoints: dict[int, frozenset[str]] = {}
        self.attempts: collections.Counter[int] = collections.Counter()
        self.first_token_seen: set[int] = set()
        self.begun_software: dict[int, str] = {}
        self.continued = 0
        self.mixed_responses: set[int] = set()
        self.phase_starts = sorted({0.0, *(fault.at_seconds for fault in plan.faults)})
        self.recorders = [replay_summary.Recorder(policy().name) for _ in self.phase_starts]
        self.total = replay_summary.Recorder(policy().name)
        self.dispatchers = [self._create_dispatcher(i) for i in range(plan.routers)]

    def _create_dispatcher(self, position: int) -> dispatcher.Dispatcher:
        data_centres = self.document.deployment.data_centres
        settings = dispatcher.DispatcherSettings(
            data_centres[position % len(data_centres)], policy=self.policy()
        )
        result = dispatcher.Dispatcher(settings, self.clock, metrics.Metrics())
        result.handle(messages.RouterCount(self.plan.routers))
        result.handle(messages.SnapshotChanged(self.snapshot))
        return result

    # Time

    def schedule(self, seconds: float, function: Callable, *args) -> None:
        """Schedule a function call.

        Args:
          seconds: Simulated time until the call, in seconds.
          function: Function to call.
          *args: Its arguments.
        """
        at = self.clock.monotonic() + seconds
        heapq.heappush(self.queue, (at, next(self.tie_breaker), function, args))

    def run(self) -> replay_summary.Summary:
        """Execute all scheduled calls in order of time and return the figures of the whole run."""
        self._arrivals = traffic.arrivals(self.plan)
        self._schedule_next_arrival()
        for fault in self.plan.faults:
            self.schedule(fault.at_seconds, self._apply_fault, fault)
        for item in self.engines.values():
            self.schedule(
                self.random.random() * self.report_settings.report_seconds, self._send_report, item
            )
        self.schedule(TICK_SECONDS, self._tick)
        while self.queue:
            at, _, function, args = heapq.heappop(self.queue)
            self.clock.advance(at - self.clock.monotonic())
            function(*args)
        return self.total.summarize(self.plan.duration_seconds)

    def phases(self) -> list[tuple[float, replay_summary.Summary]]:
        """Return the start in seconds and the figures of each phase.

        The first phase begins at 0, and another one at the start of each fault.
        """
        ends = [*self.phase_starts[1:], self.plan.duration_seconds]
        return [
            (start, recorder.summarize(max(0.001, end - start)))
            for start, end, recorder in zip(self.phase_starts, ends, self.recorders, strict=True)
        ]

    def _is_over(self) -> bool:
        return self.clock.monotonic() > self.plan.duration_seconds

    def _tick(self) -> None:
        for item in self.dispatchers:
            item.tick()
        if not self._is_over() or any(len(item.queue) for item in self.dispatchers):
            self.schedule(TICK_SECONDS, self._tick)

    def _send_report(self, item: fake_engine.FakeEngine) -> None:
        if not self._is_over():
            self.schedule(self.report_settings.report_seconds, self._send_report, item)
        if not item.is_up:
            self.schedule(
                REPORT_DELAY_SECONDS, self._broadcast, messages.EndpointDown(item.endpoint.name), 0
            )
            return
        state = item.report()
        if not self.report_settings.has_events:
            without_events = dataclasses.replace(state.events, stored=(), evicted=())
            state = dataclasses.replace(state, events=without_events)
        self.schedule(REPORT_DELAY_SECONDS, self._deliver_report, item.endpoint.name, state)

    def _deliver_report(self, name: str, state: engine.EngineState) -> None:
        for position in range(len(self.dispatchers)):
            if self.event_loss_probability and self.random.random() < self.event_loss_probability:
                no_events = dataclasses.replace(state.events, stored=(), evicted=())
                state_without_events = dataclasses.replace(state, events=no_events)
                self._handle(position, messages.EndpointReport(name, state_without_events, True))
            else:
                self._handle(position, messages.EndpointReport(name, state, False))

    def _broadcast(self, message, _unused: int) -> None:
        for position in range(len(self.dispatchers)):
            self._handle(position, message)

    def _handle(self, position: int, message) -> None:
        self.dispatchers[position].handle(message)

    # Requests

    def _schedule_next_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self.schedule(arrival.at - self.clock.monotonic(), self._handle_arrival, arrival)

    def _handle_arrival(self, arrival: traffic.Arrival) -> None:
        self._schedule_next_arrival()
        self._add_count(arrival, "requests")
        self.admit(arrival, arrival.router, False)

    def admit(self, arrival: traffic.Arrival, router: int, is_retry: bool) -> None:
        """Submit a request to a router's dispatcher.

        Args:
          arrival: The request as the traffic generated it.
          router: Number of the router.
          is_retry: Whether an earlier attempt failed.
        """
        request = self._build_request(arrival)
        excluded = self.excluded_endpoints.get(arrival.number, frozenset())
        reply = AssignmentReply(self, arrival, router)
        software = self.begun_software.get(arrival.number)
        admission = messages.Admit(
            request, reply, excluded, is_retry=is_retry, software=software, failed=excluded
        )
        self._handle(router, admission)

    def _build_request(self, arrival: traffic.Arrival) -> requests.ModelRequest:
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

    def on_assigned(self, arrival: traffic.Arrival, assignment: messages.Assignment, router: int):
        """Send a request to the engine that the dispatcher chose."""
        self._add_count(arrival, "attempts")
        self.attempts[arrival.number] += 1
        job = fake_engine.Job(arrival, assignment.request, assignment, router)
        self.schedule(NETWORK_DELAY_SECONDS, self.engines[assignment.endpoint.name].accept, job)

    def on_refused(self, arrival: traffic.Arrival, router: int, error: errors.RequestError) -> None:
        """Count a refused request as failed if it was attempted, otherwise as shed."""
        del error
        self._add_count(arrival, "failed" if self.attempts[arrival.number] else "shed")
        self._end_request(router, arrival)

    def record_prompt(self, job: fake_engine.Job, missing: int) -> None:
        """Count the tokens of a prompt when its prefill starts.

        Compulsory tokens are those that no engine has computed before in this run, plus the
        question. Lost tokens are those of pieces whose only cached copy was lost in a crash; they
        count once, when a later prompt contains them.

        Args:
          job: The attempt.
          missing: Tokens that the engine computes.
        """
        new_keys = [key for key in job.assignment.variant.chain if key not in self.computed_keys]
        recomputed = [key for key in job.assignment.variant.chain if key in self.lost_keys]
        self.computed_keys.update(new_keys)
        self.lost_keys.difference_update(recomputed)
        self._add_count(job.arrival, "lost_tokens", len(recomputed) * self.piece_tokens)
        question = job.request.tokens - len(job.assignment.variant.chain) * self.piece_tokens
        compulsory = len(new_keys) * self.piece_tokens + question
        self._add_count(job.arrival, "prompt_tokens", job.request.tokens)
        self._add_count(job.arrival, "computed_tokens", missing)
        self._add_count(job.arrival, "imported_tokens", job.imported_tokens)
        self._add_count(job.arrival, "compulsory_tokens", compulsory)

    def on_first_token(self, job: fake_engine.Job) -> None:
        """Record the first token of an attempt; only the first one of a request counts."""
        seconds = self.clock.monotonic() - job.arrival.at
        if job.arrival.number not in self.first_token_seen:
            self.first_token_seen.add(job.arrival.number)
            for recorder in self._recorders_of(job.arrival):
                recorder.record_first_token(job.arrival.team, seconds)
            if seconds <= job.request.metadata.workload.objective.first_token_seconds:
                self._add_count(job.arrival, "good")
        self._record_software(job)
        self._handle(job.router, messages.FirstPart(job.assignment, seconds))

    def _record_software(self, job: fake_engine.Job) -> None:
        """Record which software generates a response; a retry after the first token continues it."""
        software = self.engines[job.assignment.endpoint.name].software
        number = job.arrival.number
        self.continued += number in self.begun_software
        if self.begun_software.setdefault(number, software) != software:
            self.mixed_responses.add(number)

    def on_answered(self, job: fake_engine.Job, incarnation: str) -> None:
        """Count a complete response."""
        self._add_count(job.arrival, "answered")
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
        self._end_request(job.router, job.arrival)

    def on_attempt_failed(self, job: fake_engine.Job, error: errors.EndpointError) -> None:
        """Retry a request at another endpoint, or count it as failed when no attempt is left."""
        name = job.assignment.endpoint.name
        incarnation = self.engines[name].incarnation if self.engines[name].is_up else ""
        ended = messages.AttemptEnded(job.assignment, error, incarnation=incarnation)
        self._handle(job.router, ended)
        number = job.arrival.number
        self.excluded_endpoints[number] = self.excluded_endpoints.get(number, frozenset()) | {name}
        if self.attempts[number] >= self.snapshot.preset.retry_attempts:
            self._add_count(job.arrival, "failed")
            self._end_request(job.router, job.arrival)
            return
        self.admit(job.arrival, job.router, True)

    def _end_request(self, router: int, arrival: traffic.Arrival) -> None:
        self._handle(router, messages.RequestEnded(self._build_request(arrival)))

    def _recorders_of(
        self, arrival: traffic.Arrival
    ) -> tuple[replay_summary.Recorder, replay_summary.Recorder]:
        phase = sum(1 for start in self.phase_starts if start <= arrival.at) - 1
        return self.total, self.recorders[phase]

    def _add_count(self, arrival: traffic.Arrival, name: str, amount: int = 1) -> None:
        for recorder in self._recorders_of(arrival):
            recorder.counts[name] += amount

    # Faults

    def _apply_fault(self, fault: traffic.Fault) -> None:
        if fault.kind == "crash":
            self._record_lost_keys(self.engines[fault.target])
            self.engines[fault.target].crash()
            self.schedule(fault.seconds, self.engines[fault.target].restart)
        elif fault.kind == "gaps":
            self.event_loss_probability = fault.factor
            self.schedule(fault.seconds, self._end_event_loss)
        elif fault.kind == "slow":
            self._set_slowness(fault.target, fault.factor)
            self.schedule(fault.seconds, self._set_slowness, fault.target, 1.0)
        elif fault.kind == "herd-restart":
            self._restart_routers()

    def _record_lost_keys(self, crashed: fake_engine.FakeEngine) -> None:
        """Record the keys of pieces whose only cached copy is at an engine that crashes."""
        others = [item for item in self.engines.values() if item is not crashed]
        last_copies = (
            key for key in crashed.cache if not any(key in item.cache for item in others)
        )
        self.lost_keys.update(last_copies)

    def _end_event_loss(self) -> None:
        self.event_loss_probability = 0.0

    def _set_slowness(self, target: str, factor: float) -> None:
        for item in self.engines.values():
            if target in (item.endpoint.data_centre, item.endpoint.name):
                item.slowness = factor

    def _restart_routers(self) -> None:
        """Replace all dispatchers, whose state is lost.

        Queued requests are admitted again, and requests at engines continue.
        """
        for position, old in enumerate(self.dispatchers):
            queued_messages = [ticket.payload for ticket in old.queue]
            self.dispatchers[position] = self._create_dispatcher(position)
            for message in queued_messages:
                self.dispatchers[position].handle(message)
        for item in self.engines.values():
            if item.is_up and self.report_settings.has_events:
                self.schedule(
                    REPORT_DELAY_SECONDS, self._deliver_report, item.endpoint.name, item.snapshot()
                )


POLICIES: dict[str, Callable[[], policies.Policy]] = {
    policy.name: policy
    for policy in (
        policies.ReuseAndLoad,
        policies.RoundRobin,
        policies.LeastLoad,
        policies.Rendezvous,
    )
}
