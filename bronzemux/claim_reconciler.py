"""Task that retries failed writes of claims, resolves uncertain ones and writes lost ones again."""

import collections
import dataclasses
import functools

from bronzemux import claim_rows, committer, errors, logs, store_version, supervisor, table
from bronzemux import clock as clocks

RETRY_INTERVAL_SECONDS = 1.0
MAX_PENDING_WRITES = 10_000
# Far longer than the age of a copy from which the table service is restored.
RECENT_SECONDS = 120.0
MAX_RECENT_CLAIMS = 5_000
# Interval at which a router with recent claims checks whether the table service was restored.
ERA_CHECK_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class RetryWrite:
    """Request to retry a failed write of a claim until the table service accepts or rejects it."""

    claim: claim_rows.Claim


@dataclasses.dataclass(frozen=True)
class ReleaseUncertain:
    """Request to release a claim whose insertion may or may not have taken effect."""

    claim: claim_rows.Claim


@dataclasses.dataclass(frozen=True)
class RewriteLost:
    """Request to write a claim again that a restored table service may have lost."""

    claim: claim_rows.Claim


class ClaimReconciler(supervisor.Task):
    """Retries failed writes of claims, and releases claims that may have been inserted.

    Requests stay queued until the table service is available. Once that was restored from an older
    copy, the claims that this router wrote recently are written again.

    Args:
      committer_task: Task that writes rows.
      service: Table service, for reads.
      clock: Source of time.

    Attributes:
      recent: Claims that this router wrote within `RECENT_SECONDS`, and when, by key of the row.
      forgotten_at: Monotonic seconds at which one of the claims that `recent` has no room for was
        written.
      era: Era of the table service up to which lost claims have been queued.
      next_check_at: Monotonic seconds of the next check of the era.
    """

    def __init__(
        self, committer_task: committer.Committer, service: table.TableService, clock: clocks.Clock
    ):
        super().__init__("settler", clock, RETRY_INTERVAL_SECONDS)
        self.committer = committer_task
        self.service = service
        self.pending: collections.deque[RetryWrite | ReleaseUncertain | RewriteLost] = (
            collections.deque(maxlen=MAX_PENDING_WRITES)
        )
        self.recent: collections.OrderedDict[str, tuple[claim_rows.Claim, float]] = (
            collections.OrderedDict()
        )
        self.forgotten_at = -1e9
        self.era = 0
        self.next_check_at = 0.0
        self.repeats = logs.RepeatFilter(clock)

    def record(self, claim: claim_rows.Claim) -> None:
        """Keep a claim in its newest state, in case the table service loses its row.

        A released claim does not replace an earlier one on its key that was not released, which the
        table service must have lost.
        """
        now = self.clock.monotonic()
        known = self.find_recent(claim.key)
        is_released = claim.state is claim_rows.State.RELEASED
        if known is not None and known.nonce != claim.nonce and is_released:
            return
        self.recent.pop(claim.key, None)
        self.recent[claim.key] = (claim, now)
        self._forget_old(now)
        if len(self.recent) > MAX_RECENT_CLAIMS:
            _, (_, self.forgotten_at) = self.recent.popitem(last=False)

    def find_recent(self, key: str) -> claim_rows.Claim | None:
        """Return the claim that this router recently wrote on a key, None if it was released."""
        claim, _ = self.recent.get(key, (None, 0.0))
        is_claimed = claim is not None and claim.state is not claim_rows.State.RELEASED
        return claim if is_claimed else None

    def _forget_old(self, now: float) -> None:
        while self.recent:
            key, (_, written_at) = next(iter(self.recent.items()))
            if now - written_at <= RECENT_SECONDS:
                return
            del self.recent[key]

    @functools.singledispatchmethod
    def handle(self, message):
        """Queue a request until the next tick."""
        return super().handle(message)

    @handle.register(RetryWrite)
    @handle.register(ReleaseUncertain)
    @handle.register(RewriteLost)
    def _enqueue(self, message: RetryWrite | ReleaseUncertain | RewriteLost) -> None:
        self.pending.append(message)

    def tick(self) -> None:
        """Process the pending requests in order, up to the first failure of the platform."""
        self._check_era()
        for _ in range(len(self.pending)):
            message = self.pending.popleft()
            try:
                self._carry_out(message)
            except errors.PlatformError:
                self.pending.appendleft(message)
                return
            except errors.ClaimRowError as error:
                # The row keeps the key claimed, so that its request cannot run again.
                self.repeats.event(
                    "claim_row_rejected", "row", row=message.claim.key, cause=str(error)
                )

    def _check_era(self) -> None:
        """Queue the recent claims when the table service was restored."""
        now = self.clock.monotonic()
        self._forget_old(now)
        if self.recent and now >= self.next_check_at:
            self.next_check_at = now + ERA_CHECK_SECONDS
            try:
                self.service.read([])
            except errors.PlatformError as error:
                logs.event("era_check_failed", "debug", cause=error.message)
        if self.service.era > self.era:
            self.era = self.service.era
            is_complete = now - self.forgotten_at > RECENT_SECONDS
            logs.event(
                "claims_rewritten",
                "info" if is_complete else "error",
                era=self.era,
                claims=len(self.recent),
                is_complete=is_complete,
            )
            self.pending.extend(RewriteLost(claim) for claim, _ in self.recent.values())

    @functools.singledispatchmethod
    def _carry_out(self, message) -> None:
        raise TypeError(f"the claim reconciler does not handle {type(message).__name__}")

    @_carry_out.register
    def _retry_write(self, message: RetryWrite) -> None:
        result = self.committer.commit(claim_rows.to_write(message.claim))
        if result.is_written:
            return
        if self.service.era > store_version.era_of(message.claim.version):
            self._rewrite_lost(RewriteLost(message.claim))
        else:
            logs.event("claim_superseded", "debug", row=message.claim.key)

    @_carry_out.register
    def _rewrite_lost(self, message: RewriteLost) -> None:
        """Write a claim again unless its row shows it, or a later claim on the key."""
        claim = message.claim
        newest, _ = self.recent.get(claim.key, (claim, 0.0))
        if newest != claim:
            return
        row = self.service.read([claim.key])[0]
        if row is not None and not _is_older(row, claim):
            return
        expected = row.version if row else table.ABSENT
        version = table.next_version(self.service.era, expected)
        rewritten = dataclasses.replace(claim, version=version)
        if self.committer.commit(claim_rows.to_write(rewritten)).is_written:
            if self.recent.get(claim.key, (None, 0.0))[0] is newest:
                self.record(rewritten)
            logs.event("claim_rewritten", "debug", row=claim.key, state=claim.state.value)
        else:
            self.pending.append(message)

    @_carry_out.register
    def _release_uncertain(self, message: ReleaseUncertain) -> None:
        """Release the claim if it was inserted; otherwise insert a released claim in its place.

        The released claim makes a delayed insertion fail on its version. The row may also hold the
        claim of another request with the same version, so claims are compared by nonce.
        """
        claim = message.claim
        row = self.service.read([claim.key])[0]
        if row is not None and claim_rows.decode(row).nonce != claim.nonce:
            return
        expected = row.version if row else table.ABSENT
        version = table.next_version(self.service.era, expected)
        released = dataclasses.replace(claim, version=version, state=claim_rows.State.RELEASED)
        self.record(released)
        result = self.committer.commit(claim_rows.to_write(released))
        if not result.is_written and row is None:
            self.pending.append(message)


def _is_older(row: table.Row, claim: claim_rows.Claim) -> bool:
    """Return whether a row of a restored table shows an older state than that of a lost claim."""
    found = claim_rows.decode(row)
    if found.nonce == claim.nonce:
        return found.state is claim_rows.State.STARTED and found.state is not claim.state
    if found.state is claim_rows.State.RELEASED:
        return claim.state is not claim_rows.State.RELEASED
    numbers = [store_version.number_of(version) for version in (row.version, claim.version)]
    if claim.state is not claim_rows.State.RELEASED and numbers[0] < numbers[1]:
        return True
    logs.event("claim_superseded", "warning", row=claim.key, state=found.state.value)
    return False
