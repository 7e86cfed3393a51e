"""Task that keeps verdicts in the store, for the case that all gateways restart at once."""

import collections
import hashlib

import cbor2

from bronzemux import clock as clocks
from bronzemux import errors, logs, quarantine, supervisor, table
from bronzemux.gateway import crash_attribution, gossip, quarantine_gossip, store_following

KEY_PREFIX = "quarantine/"
# Most rows in one response of the store.
MAX_ROWS = 500
# Verdicts that wait for the store; older ones are dropped, as the other gateways know them.
MAX_PENDING = 100
INTERVAL_SECONDS = 0.25
RETRY_SECONDS = 1.0


class VerdictStore(supervisor.Task):
    """Writes the verdicts that this gateway reached, and reads all of them after the start.

    Only gateways that follow the store read them; the others learn them by gossip. Rows contain the
    time of day of the decision, as monotonic clocks of different processes cannot be compared.

    Args:
      crashes: Attribution of crashes of this gateway.
      service: The gateway's table.
      following: Whether this gateway follows the store.
      clock: Source of time.

    Attributes:
      pending: Verdicts that have not been written yet.
      is_loaded: Whether the stored verdicts have been read.
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
        self.is_loaded = False
        self.retry_at = 0.0
        crashes.on_verdict.append(self.pending.append)

    def tick(self) -> None:
        """Read the verdicts once, and write new ones."""
        if self.clock.monotonic() < self.retry_at:
            return
        try:
            if not self.is_loaded and self.following.is_needed():
                self._load()
                self.is_loaded = True
            while self.pending:
                self._write(self.pending[0])
                self.pending.popleft()
        except errors.PlatformError as error:
            logs.event("verdict_store_failed", "warning", cause=str(error))
            self.retry_at = self.clock.monotonic() + RETRY_SECONDS

    def _load(self) -> None:
        for row in self.service.scan(KEY_PREFIX, MAX_ROWS):
            try:
                verdict = self._decode(row.value)
            except (gossip.GossipError, cbor2.CBORDecodeError, ValueError, TypeError) as error:
                logs.event("verdict_row_rejected", "warning", key=row.key, cause=str(error))
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
        """Write a verdict; a second call is needed when its row exists."""
        key, value = row_key(verdict), self._encode(verdict)
        try:
            self.service.transact([table.Write(key, table.ABSENT, value)])
        except errors.WriteConflictError:
            known = self.service.read([key])[0]
            version = known.version if known is not None else table.ABSENT
            try:
                self.service.transact([table.Write(key, version, value)])
            except errors.WriteConflictError as error:
                # Another gateway has just written the same verdict.
                logs.event("verdict_row_kept", key=key, cause=str(error))

    def _encode(self, verdict: quarantine.Verdict) -> bytes:
        report = quarantine_gossip.report(verdict, self.clock.monotonic())
        decided_ms = int(self.clock.now().timestamp() * 1000) - report.decided_ms_ago
        return cbor2.dumps([list(report.members), report.crash, decided_ms, report.term_ms])

    def _decode(self, value: bytes) -> quarantine.Verdict:
        members, crash, decided_ms, term_ms = cbor2.loads(value)
        age_ms = int(self.clock.now().timestamp() * 1000) - decided_ms
        report = gossip.decode_verdict_report([members, crash, age_ms, term_ms])
        return quarantine_gossip.verdict_of(report, self.clock.monotonic())


def row_key(verdict: quarantine.Verdict) -> str:
    """Return the key of a verdict's row."""
    digest = hashlib.blake2b(",".join(sorted(verdict.members)).encode(), digest_size=16)
    return KEY_PREFIX + digest.hexdigest()
