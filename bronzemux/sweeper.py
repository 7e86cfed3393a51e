"""Task that removes the stored answers of claims when they have expired; the claims stay."""

import dataclasses
import hashlib
from collections.abc import Callable, Iterator

from bronzemux import claim_rows, claims, committer, errors, logs, object_store, supervisor, table
from bronzemux import clock as clocks

SWEEP_SECONDS = 60.0
CLOCK_ERROR_SECONDS = 24 * 3600.0
SHARD_DIGITS = 2
SCAN_ROWS = 500
HEX_DIGITS = "0123456789abcdef"


class Sweeper(supervisor.Task):
    """Removes expired answers, one part of the claims at a time.

    Each router sweeps the shards whose rendezvous hash is highest for it among the routers that
    it knows. Two routers that disagree sweep the same shard, which does no harm: a row is written
    under its version, and a claim stays as it is but for its answer, so that its request never
    runs again. Answers are removed only when they have been expired for longer than clocks of
    routers may differ.

    Args:
      settings: Settings of the claims.
      router: Name of this router.
      service: Table service, for reads.
      store: Object store.
      committer_task: Task that writes.
      clock: Source of time.
      routers: Returns the names of the routers that are alive, this one included.
    """

    def __init__(
        self,
        settings: claims.ClaimSettings,
        router: str,
        service: table.TableService,
        store: object_store.ObjectStore,
        committer_task: committer.Committer,
        clock: clocks.Clock,
        routers: Callable[[], list[str]],
    ):
        super().__init__("sweeper", clock, SWEEP_SECONDS)
        self.settings = settings
        self.router = router
        self.service = service
        self.store = store
        self.committer = committer_task
        self.routers = routers
        self.next_shard = 0
        self.removed = 0

    def tick(self) -> None:
        """Sweep the next shard of this router; a failure leaves it to the next round."""
        shard = self._take_shard()
        if shard is None:
            return
        try:
            for claim in self._expired(claim_rows.KEY_PREFIX + shard):
                self._remove(claim)
        except errors.PlatformError as error:
            logs.event("sweep_failed", "warning", shard=shard, cause=error.message)

    def _take_shard(self) -> str | None:
        """Return the next shard that is this router's, None when it has none."""
        count = len(HEX_DIGITS) ** SHARD_DIGITS
        names = self.routers()
        for step in range(count):
            position = (self.next_shard + step) % count
            shard = f"{position:0{SHARD_DIGITS}x}"
            if max(names, key=lambda name: _score(name, shard)) == self.router:
                self.next_shard = position + 1
                return shard
        return None

    def _expired(self, prefix: str) -> Iterator[claim_rows.Claim]:
        """Iterate over the claims under a prefix whose answer is to be removed."""
        rows = self.service.scan(prefix, SCAN_ROWS)
        if len(rows) == SCAN_ROWS:
            for digit in HEX_DIGITS:
                yield from self._expired(prefix + digit)
            return
        for row in rows:
            claim = claim_rows.decode(row)
            if self._is_expired(claim):
                yield claim

    def _is_expired(self, claim: claim_rows.Claim) -> bool:
        has_answer = claim.answer is not None or bool(claim.answer_object)
        age = self.clock.now().timestamp() - claim.since
        return has_answer and age > self.settings.answer_seconds + CLOCK_ERROR_SECONDS

    def _remove(self, claim: claim_rows.Claim) -> None:
        """Remove the answer, the object first, so that no object is left without a row."""
        if claim.answer_object:
            self.store.delete(claim.answer_object)
        bare = dataclasses.replace(claim, version=claim.version + 1, answer=None, answer_object="")
        if self.committer.commit(claim_rows.write_of(bare)).is_written:
            self.removed += 1


def _score(name: str, shard: str) -> bytes:
    return hashlib.blake2b(f"{name}|{shard}".encode(), digest_size=8).digest()
