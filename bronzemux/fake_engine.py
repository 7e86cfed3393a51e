"""Small fake engines of a replay: a serial prefill, slots and a bounded prefix cache."""

import collections
import dataclasses
import heapq
import itertools

from bronzemux import config, engine, errors, fleet, messages, requests, traffic

TOKEN_SECONDS = 0.004


@dataclasses.dataclass
class Job:
    """One attempt at a fake engine."""

    arrival: traffic.Arrival
    request: requests.ModelRequest
    assignment: messages.Assignment
    router: int
    cached_tokens: int = 0
    imported_tokens: int = 0


class FakeEngine:
    """Engine with a serial prefill, slots for decoding and a bounded prefix cache.

    Args:
      endpoint: Configured sizes.
      piece_tokens: Tokens of one piece.
      run: The replay that it belongs to.
    """

    def __init__(self, endpoint: config.Endpoint, piece_tokens: int, run):
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
        priority = job.request.metadata.workload.priority
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
        job.imported_tokens = self._import(job, held) * self.piece_tokens
        missing = job.request.tokens - job.cached_tokens - job.imported_tokens
        self.run.count_prompt(job, missing)
        seconds = missing / self.endpoint.prefill_tokens_per_second * self.slowness
        seconds += job.imported_tokens / self.run.store.tokens_per_second
        self.run.after(seconds, self._end_prefill, job, self.generation)

    def _lookup(self, chain: tuple[int, ...]) -> int:
        held = 0
        for key in chain:
            if key not in self.cache:
                break
            self.cache.move_to_end(key)
            held += 1
        return held

    def _import(self, job: Job, held: int) -> int:
        """Return the number of pieces imported from the KV cache store."""
        transfer = job.assignment.transfer
        chain = job.assignment.variant.chain[: transfer.import_pieces]
        return max(0, self.run.store.held(transfer.import_from, chain) - held)

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
        transfer = job.assignment.transfer
        exported = job.assignment.variant.chain[: transfer.export_pieces]
        self.run.store.put(self.incarnation, exported)
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
        return self._state(events, first)

    def whole(self) -> engine.EngineState:
        """Return the load and all pieces of the cache, as a new router reads them."""
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
        return engine.EngineState(load, batch)
