"""Where streams began, in the memory of a router and in the store.

A stream began at the endpoint that sent its first event. Origins are only stored while more than
one software version of a service may have begun streams, as they need not be known otherwise. A row
of each service lists these versions; a router that has just started reads it.
"""

import collections
import functools
import hashlib
import itertools
import typing
from collections.abc import Callable, Iterator

import cbor2
import gevent

from bronzemux import clock as clocks
from bronzemux import errors, logs, plain_values, supervisor, table
from bronzemux.gateway import meters, software_history, store_following

# 8 MB.
MAX_ORIGINS = 20_000
ORIGIN_PREFIX = "stream/"
HISTORY_PREFIX = "software/"
INTERVAL_SECONDS = 0.25
RETRY_SECONDS = 1.0
# Most rows in one response of the store.
MAX_SCANNED_ROWS = 500
# Origins that wait for the store; older ones are dropped.
MAX_PENDING = 5000
# Writes of all routers together in a second when each takes longest; one partition of the store
# takes 300. While it is quick, only `PAUSE_RATIO` limits them.
WRITES_PER_SECOND = 150
# Pause after a write, in times that the write took, so that routers write less often while others
# wait for the store. It ends at the latest when the rate above allows the next write.
PAUSE_RATIO = 4.0
# Rows of streams that have ended are removed when others are written, or after so long without.
REMOVAL_DELAY_SECONDS = 5.0
# Longest wait for the store while a caller waits for its stream.
READ_SECONDS = 0.4
# Callers for whom the store is read at the same time.
MAX_READS = 64
# Pause between two scans for rows of routers that have ended.
SWEEP_SECONDS = 10.0
# Origins have hexadecimal keys, and a scan covers those with one first digit.
SWEEP_DIGITS = "0123456789abcdef"
# The first round finds the rows, a later one those that nobody has removed since.
SWEEP_ROUNDS = 3
# Era of a store that was never restored from an older copy.
FIRST_ERA = 1


class StreamOrigin(typing.NamedTuple):
    """Where a stream began.

    Attributes:
      service: Name of the service.
      software: Version of the software of the endpoint that sent the first event, empty when it is
        not known.
      endpoint: Identity of that endpoint, empty when it is not known.
      started_at_ms: Unix time of its start, by its entry, in milliseconds.
    """

    service: str
    software: str
    endpoint: str = ""
    started_at_ms: int = 0


class StreamOrigins:
    """Origins of the streams that this router served, or took up, the oldest first.

    Args:
      clock: Source of time.

    Attributes:
      noted: Origin and monotonic seconds of its note, by key.
      on_note: Called with the key of each origin that the store may lack.
    """

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.noted: collections.OrderedDict[str, tuple[StreamOrigin, float]] = (
            collections.OrderedDict()
        )
        self.on_note: list[Callable[[str], None]] = []

    def note(self, key: str, origin: StreamOrigin, is_stored: bool = False) -> None:
        """Keep the origin of a stream.

        Args:
          key: Result of `origin_key`.
          origin: The origin.
          is_stored: Whether the store has it.
        """
        self.noted[key] = (origin, self.clock.monotonic())
        self.noted.move_to_end(key)
        while len(self.noted) > MAX_ORIGINS:
            self.noted.popitem(last=False)
        for listener in () if is_stored else self.on_note:
            listener(key)

    def find(self, key: str) -> StreamOrigin | None:
        """Return the origin of a stream, None when it is not known here."""
        noted = self.noted.get(key)
        return noted[0] if noted is not None else None

    def since(self, at: float) -> Iterator[tuple[str, StreamOrigin]]:
        """Yield the key and origin of the streams that were noted after a monotonic time."""
        for key, (origin, noted_at) in self.noted.items():
            if noted_at > at:
                yield key, origin

    def expire(self, before: float) -> None:
        """Drop the origins that were noted before a monotonic time."""
        while self.noted:
            key, (_, noted_at) = next(iter(self.noted.items()))
            if noted_at >= before:
                return
            del self.noted[key]


def origin_key(team: str, request_id: str) -> str:
    """Return the key of a stream's origin, which no request of another team can name.

    Args:
      team: Name of the caller's team, empty for none.
      request_id: Identity of the caller's attempt that brought the first event.
    """
    return hashlib.blake2b(f"{team}\0{request_id}".encode(), digest_size=16).hexdigest()


class OriginRowError(errors.BronzemuxError):
    """The row of an origin, or of a service's versions, cannot be decoded."""


class OriginStore(supervisor.Task):
    """Writes origins and versions in service to the store, and reads them.

    Args:
      origins: Origins of the streams of this router.
      history: Software versions that were in service.
      service: The gateway's table.
      following: Whether this gateway follows the store; those that do write the versions.
      metrics: Metrics of the gateway.
      clock: Source of time.

    Attributes:
      pending: Keys of the origins that are to be written.
      written: Rows of this router, the oldest first: monotonic seconds of the write, key, version.
      stored: Versions of each service as they were last read or written.
      era: Era of the table in which these are valid.
      retry_at: Monotonic seconds before which the table is not used, after a failed call.
      write_at: Monotonic seconds before which no origins are written.
      reads: Reads for callers that are in progress.
      sweep_at: Monotonic seconds of the next scan for rows of routers that have ended.
      sweep_count: Scans so far.
      swept: Monotonic seconds and keys of an earlier scan, by digit; a key that is found again after
        twice the life of a stream is removed, so that a router which is late removes its own first.
      sweeps_left: Scans until all keys have been covered since origins were last stored.
      storing: Services whose origins are being stored.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        history: software_history.SoftwareHistory,
        service: table.TableService,
        following: store_following.StoreFollowing,
        metrics: meters.GatewayMetrics,
        clock: clocks.Clock,
    ):
        super().__init__("origin-store", clock, INTERVAL_SECONDS)
        self.origins = origins
        self.history = history
        self.service = service
        self.following = following
        self.meters = metrics
        self.pending: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.written: collections.deque[tuple[float, str, int]] = collections.deque()
        self.stored: dict[str, software_history.StoredVersions] = {}
        self.era: int | None = None
        self.retry_at = 0.0
        self.write_at = 0.0
        self.reads = 0
        self.sweep_at = 0.0
        self.sweeps_left = 0
        self.sweep_count = 0
        self.swept: dict[str, tuple[float, tuple[str, ...]]] = {}
        self.storing: frozenset[str] = frozenset()
        self.repeats = logs.RepeatFilter(clock)
        origins.on_note.append(self._on_note)

    # Origins

    def _on_note(self, key: str) -> None:
        origin = self.origins.find(key)
        if origin is not None and self.history.must_store(origin.service):
            self.send(key)

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle the key of an origin that is to be written."""
        return super().handle(message)

    @handle.register
    def _handle_key(self, key: str) -> None:
        self._queue(key)
        self._schedule_write()

    def _queue(self, key: str) -> None:
        self.pending[key] = None
        while len(self.pending) > MAX_PENDING:
            dropped, _ = self.pending.popitem(last=False)
            self.repeats.event("stream_origin_dropped", "", row=dropped, pending=MAX_PENDING)

    def read(self, key: str) -> StreamOrigin | None:
        """Return the origin that the store has under a key, None when it has none.

        Raises:
          errors.PlatformError: When the store does not answer in time.
        """
        row = self._read_row(ORIGIN_PREFIX + key)
        return self._decode(row, _decode_origin) if row is not None else None

    def read_versions(self, service: str) -> software_history.StoredVersions | None:
        """Return what the store has about the versions of a service, None when it has nothing.

        Raises:
          errors.PlatformError: When the store does not answer in time.
        """
        row = self._read_row(HISTORY_PREFIX + service)
        return self._decode(row, _decode_versions) if row is not None else None

    def _read_row(self, key: str) -> table.Row | None:
        """Return a row, after waiting for the store for a short time only, as a caller waits."""
        is_unavailable = self.clock.monotonic() < self.retry_at
        if is_unavailable or self.reads >= MAX_READS:
            cause = "the store has just failed" if is_unavailable else "too many reads at once"
            raise errors.PlatformUnavailableError(cause, "retry later")
        expired = errors.PlatformUnavailableError(
            f"the store did not answer within {READ_SECONDS:g} s", "retry later"
        )
        self.reads += 1
        try:
            with gevent.Timeout(READ_SECONDS, expired):
                return self.service.read([key])[0]
        finally:
            self.reads -= 1

    # Task

    def tick(self) -> None:
        """Write new origins and versions in service, and remove old rows."""
        self.history.observe()
        self._begin_era()
        self._queue_older()
        now = self.clock.monotonic()
        if now < self.retry_at:
            return
        try:
            if self.history.is_stored_due and self.history.present:
                self._read_versions()
            if self.following.is_needed():
                self._write_versions()
            if now >= self.write_at and (
                self.pending or self._is_removal_due(REMOVAL_DELAY_SECONDS)
            ):
                self._write_origins()
            self._sweep_if_due()
            if self.pending:
                self._schedule_write()
        except errors.PlatformError as error:
            self.repeats.event("origin_store_failed", "", cause=str(error))
            self.retry_at = self.clock.monotonic() + RETRY_SECONDS

    def _begin_era(self) -> None:
        """Write everything again after the store was restored from an older copy."""
        if self.era == self.service.era:
            return
        if self.era is not None:
            self.storing = frozenset()
            self.written.clear()
        self.era = self.service.era
        self.stored.clear()
        self.history.is_stored_due = True

    def _queue_older(self) -> None:
        """Queue the origins from before they had to be stored, and drop those that have expired."""
        now, lives = self.clock.monotonic(), {}
        services = {service for service in self.history.present if self.history.must_store(service)}
        for service in services - self.storing:
            lives[service] = self.history.stream_life(service)
        if lives:
            for key, origin in self.origins.since(now - max(lives.values())):
                # Only the router that saw a stream begin knows its endpoint.
                if origin.service in lives and origin.endpoint:
                    self._queue(key)
        self.storing = frozenset(services)
        self.origins.expire(now - self.history.longest_life())

    # Versions in service

    def _read_versions(self) -> None:
        listed = set()
        for row in self.service.scan(HISTORY_PREFIX, MAX_SCANNED_ROWS):
            service = row.key.removeprefix(HISTORY_PREFIX)
            listed.add(service)
            stored = self._decode(row, _decode_versions)
            if stored is not None:
                self.stored[service] = stored
                self.history.apply_stored(service, stored, self.service.era)
        if self.service.era <= FIRST_ERA:
            # Only a restore loses a row, so no router has served these services yet.
            for service in self.history.present.keys() - listed:
                self.history.assume_complete(service)
        self.history.is_stored_due = False

    def _write_versions(self) -> None:
        for service in list(self.history.present):
            if not self.history.stream_life(service):
                continue
            if self.history.to_store(service, self.stored.get(service), self.service.era) is None:
                continue
            key = HISTORY_PREFIX + service
            row = self.service.read([key])[0]
            stored = self._decode(row, _decode_versions) if row is not None else None
            if stored is not None and stored != self.stored.get(service):
                self.history.apply_stored(service, stored, self.service.era)
                self.stored[service] = stored
            content = self.history.to_store(service, stored, self.service.era)
            if content is None:
                continue
            version = row.version if row is not None else table.ABSENT
            try:
                self.service.transact([table.Write(key, version, _encode_versions(content))])
            except errors.WriteConflictError as error:
                # Another router has just written the row; the next tick reads it.
                logs.event("software_row_kept", service=service, cause=str(error))
                continue
            self.stored[service] = content
            logs.event(
                "software_versions",
                service=service,
                present=",".join(sorted(content.present)),
                left=",".join(sorted(content.left)),
                is_complete=content.is_complete,
            )

    # Rows of origins

    def _write_origins(self) -> None:
        """Write the next origins, and remove rows whose streams have ended, in one transaction."""
        now = self.clock.monotonic()
        keys = list(itertools.islice(self.pending, self.service.max_writes))
        found = {key: origin for key in keys if (origin := self.origins.find(key)) is not None}
        writes = [
            table.Write(ORIGIN_PREFIX + key, table.ABSENT, _encode_origin(origin))
            for key, origin in found.items()
        ]
        while self._is_removal_due() and len(writes) < self.service.max_writes:
            _, key, version = self.written.popleft()
            writes.append(table.Write(key, version, None))
        if writes:
            self._transact(writes, now)
            self.write_at = self._next_write_at(now)
            self.sweeps_left = SWEEP_ROUNDS * len(SWEEP_DIGITS)
        for key in keys:
            self.pending.pop(key, None)

    def _transact(self, writes: list[table.Write], now: float) -> None:
        try:
            self._apply(writes, now)
        except errors.WriteConflictError:
            # One of the rows has been written or removed before, by a write whose response was lost
            # or by another router; the other writes hold nevertheless.
            for write in writes:
                try:
                    self._apply([write], now)
                except errors.WriteConflictError as error:
                    self.repeats.event("origin_row_kept", "", row=write.key, cause=str(error))

    def _apply(self, writes: list[table.Write], now: float) -> None:
        version = self.service.transact(writes)
        for write in writes:
            if write.value is not None:
                self.written.append((now, write.key, version))
        self.meters.stored_origins.inc(sum(write.value is not None for write in writes))

    def _next_write_at(self, started_at: float) -> float:
        """Return the monotonic seconds of the next write, after one that began at a given time."""
        now = self.clock.monotonic()
        interval = (1 + len(self.following.table.known)) / WRITES_PER_SECOND
        return min(started_at + interval, now + PAUSE_RATIO * (now - started_at))

    def _schedule_write(self) -> None:
        self.next_tick = min(self.next_tick, max(self.clock.monotonic(), self.write_at))

    def _is_removal_due(self, delay: float = 0.0) -> bool:
        """Return whether the stream of the oldest row ended so many seconds ago."""
        if not self.written:
            return False
        return self.clock.monotonic() - self.written[0][0] > self.history.longest_life() + delay

    def _sweep_if_due(self) -> None:
        """Remove rows of routers that have ended, a part of them at a time."""
        now = self.clock.monotonic()
        if self.storing:
            self.sweeps_left = SWEEP_ROUNDS * len(SWEEP_DIGITS)
        if not self.sweeps_left or now < self.sweep_at or not self._is_sweeper(now):
            return
        self.sweep_at = now + SWEEP_SECONDS
        digit = SWEEP_DIGITS[self.sweep_count % len(SWEEP_DIGITS)]
        self.sweep_count += 1
        self.sweeps_left -= 1
        found = {row.key: row for row in self.service.scan(ORIGIN_PREFIX + digit, MAX_SCANNED_ROWS)}
        is_old = now - self.swept.get(digit, (now, ()))[0] > 2 * self.history.longest_life()
        for key in found.keys() & set(self.swept[digit][1]) if is_old else ():
            self._transact([table.Write(key, found[key].version, None)], now)
        if is_old or digit not in self.swept:
            self.swept[digit] = (now, tuple(found))

    def _is_sweeper(self, now: float) -> bool:
        routers = self.following.table
        if not self.following.is_needed() or routers.store_rank(now) != 0:
            return False
        is_first = all(routers.own.name < router.name for router in routers.alive(now))
        return is_first or not routers.current_topology(now).is_mesh

    def _decode(self, row: table.Row, decode):
        """Return the content of a row, None when it is malformed."""
        try:
            return decode(row.value)
        except OriginRowError as error:
            self.repeats.event("origin_row_rejected", "", row=row.key, cause=str(error))
            return None


def _encode_origin(origin: StreamOrigin) -> bytes:
    return cbor2.dumps(list(origin))


def _decode_origin(value: bytes) -> StreamOrigin:
    try:
        service, software, endpoint, started_at_ms = plain_values.items(
            plain_values.load_cbor(value), 4
        )
        return StreamOrigin(
            plain_values.text(service),
            plain_values.text(software),
            plain_values.text(endpoint),
            plain_values.integer(started_at_ms),
        )
    except plain_values.CHECK_ERRORS as error:
        raise _row_error("the origin of a stream", error) from error


def _encode_versions(stored: software_history.StoredVersions) -> bytes:
    listed = [sorted(stored.present), sorted(stored.left)]
    return cbor2.dumps([stored.era, int(stored.is_complete), *listed])


def _decode_versions(value: bytes) -> software_history.StoredVersions:
    try:
        era, is_complete, present, left = plain_values.items(plain_values.load_cbor(value), 4)
        return software_history.StoredVersions(
            plain_values.integer(era),
            plain_values.integer(is_complete, maximum=1) == 1,
            frozenset(map(plain_values.text, plain_values.items(present))),
            frozenset(map(plain_values.text, plain_values.items(left))),
        )
    except plain_values.CHECK_ERRORS as error:
        raise _row_error("the versions of a service", error) from error


def _row_error(what: str, error: Exception) -> OriginRowError:
    return OriginRowError(
        f"the row of {what} is malformed: {plain_values.cause(error)}", "remove the row"
    )
