"""Repetition of writes that move claims on, while the table service is out of reach."""

import collections
import dataclasses
import functools

from bronzemux import claim_rows, committer, errors, logs, supervisor, table
from bronzemux import clock as clocks

SETTLE_SECONDS = 1.0
MAX_PENDING = 10_000


@dataclasses.dataclass(frozen=True)
class Settle:
    """Ask for a claim to be written again until it is, after the service was out of reach."""

    claim: claim_rows.Claim


@dataclasses.dataclass(frozen=True)
class Withdraw:
    """Ask for a claim to be released whose insertion may or may not have taken effect."""

    claim: claim_rows.Claim


class ClaimReconciler(supervisor.Task):
    """Repeats the writes that move claims on, while the table service is out of reach.

    Args:
      committer_task: Task that writes.
      service: Table service, for reads.
      clock: Source of time.
    """

    def __init__(
        self, committer_task: committer.Committer, service: table.TableService, clock: clocks.Clock
    ):
        super().__init__("settler", clock, SETTLE_SECONDS)
        self.committer = committer_task
        self.service = service
        self.pending: collections.deque[Settle | Withdraw] = collections.deque(maxlen=MAX_PENDING)

    @functools.singledispatchmethod
    def handle(self, message):
        """Take a request in."""
        return super().handle(message)

    @handle.register(Settle)
    @handle.register(Withdraw)
    def _take(self, message: Settle | Withdraw) -> None:
        self.pending.append(message)

    def tick(self) -> None:
        """Write what is pending until the service fails."""
        for _ in range(len(self.pending)):
            message = self.pending.popleft()
            try:
                self._carry_out(message)
            except errors.PlatformError:
                self.pending.appendleft(message)
                return

    @functools.singledispatchmethod
    def _carry_out(self, message) -> None:
        raise TypeError(f"the settler does not handle {type(message).__name__}")

    @_carry_out.register
    def _settle(self, message: Settle) -> None:
        verdict = self.committer.commit(claim_rows.write_of(message.claim))
        if not verdict.is_written:
            logs.event("claim_superseded", "debug", row=message.claim.key)

    @_carry_out.register
    def _withdraw(self, message: Withdraw) -> None:
        """Release the claim where it stands, or keep its delayed insertion from taking effect.

        The row may be another request's with the same version, so its nonce decides.
        """
        claim = message.claim
        row = self.service.read([claim.key])[0]
        if row is not None and claim_rows.decode(row).nonce != claim.nonce:
            return
        version = row.version + 1 if row else table.ABSENT + 1
        released = dataclasses.replace(claim, version=version, state=claim_rows.State.RELEASED)
        verdict = self.committer.commit(claim_rows.write_of(released))
        if not verdict.is_written and row is None:
            self.pending.append(message)
