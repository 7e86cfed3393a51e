"""Task that retries failed writes of claims and resolves those whose outcome is unknown."""

import collections
import dataclasses
import functools

from bronzemux import claim_rows, committer, errors, logs, supervisor, table
from bronzemux import clock as clocks

RETRY_INTERVAL_SECONDS = 1.0
MAX_PENDING_WRITES = 10_000


@dataclasses.dataclass(frozen=True)
class RetryWrite:
    """Request to retry a failed write of a claim until the table service accepts or rejects it."""

    claim: claim_rows.Claim


@dataclasses.dataclass(frozen=True)
class ReleaseUncertain:
    """Request to release a claim whose insertion may or may not have taken effect."""

    claim: claim_rows.Claim


class ClaimReconciler(supervisor.Task):
    """Retries failed writes of claims, and releases claims that may have been inserted.

    Requests stay queued until the table service is available.

    Args:
      committer_task: Task that writes rows.
      service: Table service, for reads.
      clock: Source of time.
    """

    def __init__(
        self, committer_task: committer.Committer, service: table.TableService, clock: clocks.Clock
    ):
        super().__init__("settler", clock, RETRY_INTERVAL_SECONDS)
        self.committer = committer_task
        self.service = service
        self.pending: collections.deque[RetryWrite | ReleaseUncertain] = collections.deque(
            maxlen=MAX_PENDING_WRITES
        )

    @functools.singledispatchmethod
    def handle(self, message):
        """Queue a request until the next tick."""
        return super().handle(message)

    @handle.register(RetryWrite)
    @handle.register(ReleaseUncertain)
    def _enqueue(self, message: RetryWrite | ReleaseUncertain) -> None:
        self.pending.append(message)

    def tick(self) -> None:
        """Process the pending requests in order, up to the first failure of the platform."""
        for _ in range(len(self.pending)):
            message = self.pending.popleft()
            try:
                self._carry_out(message)
            except errors.PlatformError:
                self.pending.appendleft(message)
                return

    @functools.singledispatchmethod
    def _carry_out(self, message) -> None:
        raise TypeError(f"the claim reconciler does not handle {type(message).__name__}")

    @_carry_out.register
    def _retry_write(self, message: RetryWrite) -> None:
        result = self.committer.commit(claim_rows.to_write(message.claim))
        if not result.is_written:
            logs.event("claim_superseded", "debug", row=message.claim.key)

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
        version = row.version + 1 if row else table.ABSENT + 1
        released = dataclasses.replace(claim, version=version, state=claim_rows.State.RELEASED)
        result = self.committer.commit(claim_rows.to_write(released))
        if not result.is_written and row is None:
            self.pending.append(message)
