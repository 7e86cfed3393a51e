"""Task that keeps verdicts in the store, for the case that all gateways restart at once."""

import collections
import hashlib

import cbor2

from bronzemux import clock as clocks
from bronzemux import errors, logs, plain_values, quarantine, supervisor, table
from bronzemux.gateway import crash_attribution, gossip, quarantine_gossip, store_following

KEY_PREFIX = "quarantine/"
# Most rows in one response of the store.
MAX_ROWS = 500
# Verdicts with more fingerprints might not fit into a row; the other gateways know them.
MAX_STORED_FINGERPRINTS = 1000
# Verdicts that wait for the store; older ones are dropped, as the other gateways know them.
MAX_PENDING = 100
INTERVAL_SECONDS = 0.25
RETRY_SECONDS = 1.0
# Far shorter than a term; the rows' times of day are rounded and come from different clocks.
END_TOLERANCE_SECONDS = 1.0


class VerdictRowError(errors.BronzemuxError):
    """The row of a verdict cannot be decoded."""


class VerdictStore(supervisor.Task):
    """Writes the verdicts that this gateway reached, and reads all of them after the start.

    Only gateways that follow the store read them; the others learn them by gossip. Rows contain the
    time of day of the decision, as monotonic clocks of different processes cannot be compared.

    A store that was restored from an older copy has lost verdicts. Each gateway then writes its own
    ones in force again, and those that follow the store also the others' that they know.

    Args:
      crashes: Attribution of crashes of this gateway.
      service: The gateway's table.
      following: Whether this gateway follows the store.
      clock: Source of time.

    Attributes:
      pending: Verdicts that have not been written yet.
      own: Members of the verdicts in force that this gateway reached.
      is_loaded: Whether the stored verdicts have been read.
      era: Era of the service up to which lost verdicts have been queued, None before the first call.
      retry_at: Monotonic seconds before which the store is not used, after a failed call.
    """

    def __init__(
        self,
        crashes: crash_attribution.CrashAttribution,
        service: table.TableService,
        following: store_following.StoreFollowing,
        clock: clocks.Clock,
    ):
        super().__init__("verdict-store", clock, INTERVAL_SECONDS)
        self.crashes = crashes
        self.service = service
        self.following = following
        self.pending: collections.deque[quarantine.Verdict] = collections.deque(maxlen=MAX_PENDING)
        self.own: set[frozenset[str]] = set()
        self.is_loaded = False
        self.era: int | None = None
        self.retry_at = 0.0
        self.repeats = logs.RepeatFilter(clock)
        crashes.on_verdict.append(self._add_own)

    def _add_own(self, verdict: quarantine.Verdict) -> None:
        in_force = {item.members for item in self._in_force()}
        if len(verdict.members) > MAX_STORED_FINGERPRINTS:
            logs.event("verdict_not_stored", fingerprints=len(verdict.members))
            return
        self.own = self.own & in_force | {verdict.members}
        self.pending.append(verdict)

    def _in_force(self) -> list[quarantine.Verdict]:
        return self.crashes.quarantine.active(self.clock.monotonic())

    def tick(self) -> None:
        """Read the verdicts once, and write new ones and those that a restore has lost."""
        if self.clock.monotonic() < self.retry_at:
            return
        self._queue_lost()
        try:
            if not self.is_loaded and self.following.is_needed():
                self._load()
                self.is_loaded = True
                self._record_era()
            while self.pending:
                self._write(self.pending[0])
                self.pending.popleft()
                self._record_era()
        except errors.PlatformError as error:
            logs.event("verdict_store_failed", "warning", cause=str(error))
            self.retry_at = self.clock.monotonic() + RETRY_SECONDS

    def _record_era(self) -> None:
        if self.era is None:
            self.era = self.service.era

    def _queue_lost(self) -> None:
        """Queue the verdicts that the service may have lost, after the first tick of an era."""
        era = self.service.era
        if self.era is None or era <= self.era:
            return
        self.era = era
        is_following = self.following.is_needed()
        queued = {verdict.members for verdict in self.pending}
        lost = [
            verdict
            for verdict in self._in_force()
            if verdict.members not in queued
            and len(verdict.members) <= MAX_STORED_FINGERPRINTS
            and (is_following or verdict.members in self.own)
        ]
        logs.event("verdicts_rewritten", era=era, verdicts=len(lost))
        self.pending.extend(lost[:MAX_PENDING])

    def _load(self) -> None:
        for row in self.service.scan(KEY_PREFIX, MAX_ROWS):
            try:
                verdict = self._decode(row.value)
            except VerdictRowError as error:
                self.repeats.event("verdict_row_rejected", "", row=row.key, cause=str(error))
                continue
            if verdict.ends_at > self.clock.monotonic():
                self.crashes.apply_verdict(verdict, "store")
            else:
                self._remove(row)

    def _remove(self, row: table.Row) -> None:
        """Remove the row of a verdict that has ended, unless it was changed meanwhile."""
        try:
            self.service.transact([table.Write(row.key, row.version, None)])
        except errors.WriteConflictError as error:
            logs.event("verdict_row_kept", key=row.key, cause=str(error))

    def _write(self, verdict: quarantine.Verdict) -> None:
        """Write a verdict, unless its row shows one that lasts as long.

        More calls are needed when the row exists.
        """
        key, value = row_key(verdict), self._encode(verdict)
        try:
            self.service.transact([table.Write(key, table.ABSENT, value)])
        except errors.WriteConflictError:
            known = self.service.read([key])[0]
            if known is not None and self._lasts_as_long(known, verdict):
                return
            version = known.version if known is not None else table.ABSENT
            try:
                self.service.transact([table.Write(key, version, value)])
            except errors.WriteConflictError as error:
                # Another gateway has just written the same verdict.
                logs.event("verdict_row_kept", key=key, cause=str(error))

    def _lasts_as_long(self, row: table.Row, verdict: quarantine.Verdict) -> bool:
        try:
            known = self._decode(row.value)
        except VerdictRowError as error:
            self.repeats.event("verdict_row_rejected", "", row=row.key, cause=str(error))
            return False
        return known.ends_at >= verdict.ends_at - END_TOLERANCE_SECONDS

    def _encode(self, verdict: quarantine.Verdict) -> bytes:
        report = quarantine_gossip.report(verdict, self.clock.monotonic())
        decided_ms = int(self.clock.now().timestamp() * 1000) - report.decided_ms_ago
        return cbor2.dumps([list(report.members), report.crash, decided_ms, report.term_ms])

    def _decode(self, value: bytes) -> quarantine.Verdict:
        try:
            members, crash, decided_ms, term_ms = plain_values.items(
                plain_values.load_cbor(value), 4
            )
            now_ms = int(self.clock.now().timestamp() * 1000)
            age_ms = now_ms - plain_values.integer(decided_ms)
            report = gossip.decode_verdict_report([members, crash, age_ms, term_ms])
        except plain_values.CHECK_ERRORS as error:
            raise VerdictRowError(
                f"the row of a verdict is malformed: {plain_values.cause(error)}", "remove the row"
            ) from error
        return quarantine_gossip.verdict_of(report, self.clock.monotonic())


def row_key(verdict: quarantine.Verdict) -> str:
    """Return the key of a verdict's row."""
    digest = hashlib.blake2b(",".join(sorted(verdict.members)).encode(), digest_size=16)
    return KEY_PREFIX + digest.hexdigest()
