"""Simulated engine of a replay, without sockets and on the fake clock of the replay."""

import collections
import dataclasses
import heapq
import itertools

from bronzemux import config, continuation, engine, errors, fleet, messages, requests, traffic

DECODE_SECONDS_PER_TOKEN = 0.004


@dataclasses.dataclass
class Job:
    """One attempt of a request at a simulated engine.

    Attributes:
      arrival: The request as the traffic generated it.
      request: The request as the router admitted it.
      assignment: Endpoint, variant and transfer that the dispatcher chose.
      router: Number of the router.
      cached_tokens: Prompt tokens found in the engine's cache.
      imported_tokens: Prompt tokens imported from the KV cache store.
    """

    arrival: traffic.Arrival
    request: requests.ModelRequest
    assignment: messages.Assignment
    router: int
    cached_tokens: int = 0
    imported_tokens: int = 0


class FakeEngine:
    """Engine with a serial prefill, slots for decoding and a bounded prefix cache.

    Args:
      endpoint: Configured throughput and capacities.
      piece_tokens: Tokens of one piece.
      replay: The `replay.Replay` that the engine belongs to; it schedules and records the work.

    Attributes:
      slowness: Factor on the times to prefill and to decode.
      software: Version of its software, empty to state none.
      waiting: Heap of the jobs that wait for their prefill as priority, tie-breaker and job.
      active: Jobs that have neither completed nor failed, waiting ones included.
      generation: Number of resets; scheduled calls of an earlier generation have no effect.
    """

    def __init__(self, endpoint: config.Endpoint, piece_tokens: int, replay):
        self.endpoint = endpoint
        self.piece_tokens = piece_tokens
        self.replay = replay
        self.slowness = 1.0
        self.software = ""
        self.is_up = True
        self.restarts = 0
        self.reset()

    def reset(self) -> None:
        """Clear the cache and all jobs, and invalidate the calls that are scheduled."""
        self.cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.events: list[tuple[int, bool]] = []
        self.sequence = 0
        self.waiting: list[tuple[int, int, Job]] = []
        self.tie_breaker = itertools.count()
        self.active: list[Job] = []
        self.is_prefilling = False
        self.generation = getattr(self, "generation", 0) + 1

    @property
    def incarnation(self) -> str:
        """Return the identity of the engine's process."""
        return f"{self.endpoint.name}-{self.restarts}"

    def accept(self, job: Job) -> None:
        """Queue a job; fail it when the engine is down or may not continue its response."""
        if not self.is_up:
            self.replay.on_attempt_failed(job, errors.EndpointUnreachableError("down", "none"))
            return
        begun = self.replay.begun_software.get(job.arrival.number)
        if begun is not None and not continuation.may_continue(begun, self.software):
            self.replay.on_attempt_failed(job, errors.EndpointMismatchError("changed", "none"))
            return
        self.active.append(job)
        priority = job.request.metadata.workload.priority
        heapq.heappush(self.waiting, (priority, next(self.tie_breaker), job))
        self._start_next_prefill()

    def _start_next_prefill(self) -> None:
        running = len(self.active) - len(self.waiting)
        if self.is_prefilling or not self.waiting or running >= self.endpoint.slots:
            return
        self.is_prefilling = True
        job = heapq.heappop(self.waiting)[2]
        matched = self._match_prefix(job.assignment.variant.chain)
        job.cached_tokens = matched * self.piece_tokens
        job.imported_tokens = self._import(job, matched) * self.piece_tokens
        missing = job.request.tokens - job.cached_tokens - job.imported_tokens
        self.replay.record_prompt(job, missing)
        seconds = missing / self.endpoint.prefill_tokens_per_second * self.slowness
        seconds += job.imported_tokens / self.replay.store.tokens_per_second
        self.replay.schedule(seconds, self._end_prefill, job, self.generation)

    def _match_prefix(self, chain: tuple[int, ...]) -> int:
        matched = 0
        for key in chain:
            if key not in self.cache:
                break
            self.cache.move_to_end(key)
            matched += 1
        return matched

    def _import(self, job: Job, matched: int) -> int:
        """Return the number of pieces to import from the KV cache store."""
        transfer = job.assignment.transfer
        chain = job.assignment.variant.chain[: transfer.import_pieces]
        return max(0, self.replay.store.match_prefix(transfer.import_from, chain) - matched)

    def _end_prefill(self, job: Job, generation: int) -> None:
        if generation != self.generation:
            return
        self._store(job.assignment.variant.chain)
        self.is_prefilling = False
        self.replay.on_first_token(job)
        seconds = job.arrival.answer_tokens * DECODE_SECONDS_PER_TOKEN * self.slowness
        self.replay.schedule(seconds, self._complete, job, generation)
        self._start_next_prefill()

    def _store(self, chain: tuple[int, ...]) -> None:
        for key in chain:
            if key not in self.cache:
                self.events.append((key, True))
            self.cache[key] = None
            self.cache.move_to_end(key)
        while len(self.cache) > self.endpoint.cache_pieces:
            key, _ = self.cache.popitem(last=False)
            self.events.append((key, False))

    def _complete(self, job: Job, generation: int) -> None:
        if generation != self.generation:
            return
        self.active.remove(job)
        transfer = job.assignment.transfer
        exported = job.assignment.variant.chain[: transfer.export_pieces]
        self.replay.store.put(self.incarnation, exported)
        self.replay.on_answered(job, self.incarnation)
        self._start_next_prefill()

    def crash(self) -> None:
        """Crash: clear the cache and fail all active jobs."""
        self.is_up = False
        failed, self.active = self.active, []
        self.reset()
        for job in failed:
            self.replay.on_attempt_failed(job, errors.EndpointLostError("crashed", "none"))

    def restart(self) -> None:
        """Start again as a new incarnation."""
        self.is_up = True
        self.restarts += 1

    def report(self) -> engine.EngineState:
        """Return the load and the cache events since the last report."""
        events, self.events = self.events, []
        first = self.sequence + 1
        self.sequence += len(events)
        return self._state(events, first)

    def snapshot(self) -> engine.EngineState:
        """Return the load and all pieces of the cache, as reported to a new router."""
        return self._state([(key, True) for key in self.cache], 1)

    def _state(self, events: list[tuple[int, bool]], first: int) -> engine.EngineState:
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
        return engine.EngineState(load, batch, software=self.software)
