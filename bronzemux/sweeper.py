"""Task that removes expired responses from claims, and keeps the claims themselves."""

import dataclasses
import hashlib
from collections.abc import Callable, Iterator

from bronzemux import claim_rows, claims, committer, errors, logs, object_store, supervisor, table
from bronzemux import clock as clocks

SWEEP_INTERVAL_SECONDS = 60.0
MAX_CLOCK_SKEW_SECONDS = 24 * 3600.0
SHARD_HEX_DIGITS = 2
MAX_SCAN_ROWS = 500
HEX_DIGITS = "0123456789abcdef"


class Sweeper(supervisor.Task):
    """Removes expired responses, one shard of the claims per tick.

    A shard holds the claims whose keys start with the same hexadecimal digits. Each router sweeps
    the shards for which it has the highest rendezvous hash among the routers that it knows. Routers
    with different lists may sweep the same shard, which is harmless: each write is conditional on
    the version of the row. Only the response is removed. The claim is kept, so that its request
    never runs again. A response is removed only once it has been expired for longer than the clocks
    of routers may differ.

    Args:
      settings: Settings of the claims.
      router: Name of this router.
      service: Table service, for reads.
      store: Object store.
      committer_task: Task that writes rows.
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
        super().__init__("sweeper", clock, SWEEP_INTERVAL_SECONDS)
        self.settings = settings
        self.router = router
        self.service = service
        self.store = store
        self.committer = committer_task
        self.routers = routers
        self.next_index = 0
        self.removed_responses = 0
        self.repeats = logs.RepeatFilter(clock)

    def tick(self) -> None:
        """Sweep the next shard of this router.

        After a failure, the rest of the shard is swept in the next round.
        """
        shard = self._next_own_shard()
        if shard is None:
            return
        try:
            for claim in self._iter_expired(claim_rows.KEY_PREFIX + shard):
                self._remove_response(claim)
        except errors.PlatformError as error:
            logs.event("sweep_failed", "warning", shard=shard, cause=error.message)

    def _next_own_shard(self) -> str | None:
        """Return the next shard that this router owns and move past it; None when it owns none."""
        count = len(HEX_DIGITS) ** SHARD_HEX_DIGITS
        names = self.routers()
        for offset in range(count):
            index = (self.next_index + offset) % count
            shard = f"{index:0{SHARD_HEX_DIGITS}x}"
            if max(names, key=lambda name: _rendezvous_hash(name, shard)) == self.router:
                self.next_index = index + 1
                return shard
        return None

    def _iter_expired(self, prefix: str) -> Iterator[claim_rows.Claim]:
        """Iterate over the claims under a key prefix whose response is to be removed.

        A prefix with more rows than one scan returns is split by its next digit.
        """
        rows = self.service.scan(prefix, MAX_SCAN_ROWS)
        if len(rows) == MAX_SCAN_ROWS:
            for digit in HEX_DIGITS:
                yield from self._iter_expired(prefix + digit)
            return
        for row in rows:
            try:
                claim = claim_rows.decode(row)
            except errors.ClaimRowError as error:
                self.repeats.event("claim_row_rejected", "row", row=row.key, cause=str(error))
                continue
            if self._is_expired(claim):
                yield claim

    def _is_expired(self, claim: claim_rows.Claim) -> bool:
        has_response = claim.response is not None or bool(claim.response_object)
        age = self.clock.now().timestamp() - claim.since
        return has_response and age > self.settings.response_ttl_seconds + MAX_CLOCK_SKEW_SECONDS

    def _remove_response(self, claim: claim_rows.Claim) -> None:
        """Remove a response: first its object, then its name, so that no object is orphaned."""
        if claim.response_object:
            self.store.delete(claim.response_object)
        claim_without_response = dataclasses.replace(
            claim, version=claim.version + 1, response=None, response_object=""
        )
        if self.committer.commit(claim_rows.to_write(claim_without_response)).is_written:
            self.removed_responses += 1


def _rendezvous_hash(name: str, shard: str) -> bytes:
    return hashlib.blake2b(f"{name}|{shard}".encode(), digest_size=8).digest()
