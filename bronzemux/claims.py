"""Claims on idempotency keys, so that a non-idempotent request runs at most once.

A claim is a row of the table service that is inserted before any byte of the request is sent to an
endpoint. Its state changes from started to done, unknown or released. Unlike a lock with a TTL, a
claim does not expire: a holder that was paused can still finish its request, and no other request
can start in the meantime. Only the holder releases its claim, and only when the request
certainly did not run. The row of a released claim is kept, so that a delayed write of the holder
fails on its version.

A table service that was restored from an older copy has lost claims. Each router writes those that it
wrote recently again; until all have had time for that, no router claims a key, as an absent row does
not show that no request had the key.
"""

import dataclasses
import uuid

import cbor2

from bronzemux import (
    claim_reconciler,
    claim_rows,
    committer,
    errors,
    logs,
    metrics,
    object_store,
    store_version,
    table,
)
from bronzemux import clock as clocks

RESPONSE_OBJECT_PREFIX = "answer/"
MAX_INLINE_BYTES = 16 * 1024
BEGIN_ATTEMPTS = 3
RETRY_AFTER_SECONDS = 2.0
# Time for each router to learn of a restore and to write its claims again: more than the interval of
# its checks, two calls that time out, and some retries.
RESTORE_HOLD_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class ClaimSettings:
    """Settings of claims.

    Attributes:
      router: Identity of this router process.
      response_ttl_seconds: How long stored responses are returned to retries of a request.
      max_running_seconds: Longest run of a request; a claim that stays in the state started for
        longer has an unknown outcome.
    """

    router: str
    response_ttl_seconds: float = 24 * 3600.0
    max_running_seconds: float = 600.0


class Claims:
    """Claims that the requests of one router hold.

    Args:
      settings: Settings.
      service: Table service, for reads.
      store: Object store, for long responses.
      committer_task: Task that writes rows.
      reconciler_task: Task that retries failed writes and resolves uncertain ones.
      clock: Source of time.
      meters: Metrics of the router.
      is_holder_gone: Returns whether the router process with an identity is known to have ended.

    Attributes:
      era: Era of the table service.
      era_seen_at: Monotonic seconds at which this router learnt of a restore.
    """

    def __init__(
        self,
        settings,
        service,
        store,
        committer_task,
        reconciler_task,
        clock,
        meters,
        is_holder_gone=lambda holder: False,
    ):
        self.settings: ClaimSettings = settings
        self.service: table.TableService = service
        self.store: object_store.ObjectStore = store
        self.committer: committer.Committer = committer_task
        self.claim_reconciler: claim_reconciler.ClaimReconciler = reconciler_task
        self.clock: clocks.Clock = clock
        self.meters: metrics.Metrics = meters
        self.is_holder_gone = is_holder_gone
        self.era = 0
        self.era_seen_at = -1e9
        self.repeats = logs.RepeatFilter(clock)

    def begin(
        self, team: str, key: str, content_digest: str
    ) -> claim_rows.Claim | claim_rows.StoredResponse:
        """Claim an idempotency key before the request runs.

        Args:
          team: Name of the team.
          key: Idempotency key of the caller.
          content_digest: Digest of the request's content.

        Returns:
          A claim that the caller now holds, or the stored response of the earlier request.

        Raises:
          errors.IdempotencyConflictError: When the key was used with different content.
          errors.InProgressError: When the earlier request is still running.
          errors.OutcomeUnknownError: When the earlier request may have run.
          errors.AnswerExpiredError: When the earlier request ran and its response has expired.
          errors.UnavailableError: When the table service is unavailable or was restored a moment
            ago; nothing ran.
        """
        known = self.claim_reconciler.find_recent(claim_rows.row_key(team, key))
        if known is not None:
            return self._replay(known, content_digest)
        if self._is_restored_recently():
            return self._replay_or_refuse(team, key, content_digest)
        nonce = uuid.uuid4().hex
        router = self.settings.router
        version = table.next_version(self.service.era, table.ABSENT)
        for _ in range(BEGIN_ATTEMPTS):
            claim = claim_rows.Claim(
                claim_rows.row_key(team, key),
                version,
                claim_rows.State.STARTED,
                nonce,
                content_digest,
                router,
                self._now(),
            )
            result = self._insert(claim)
            if result.is_written:
                # The write itself may have shown that the service was restored.
                if self._is_restored_recently():
                    self.release(claim)
                    raise self._restored_error()
                self.claim_reconciler.record(claim)
                self.meters.claims.labels("begun").inc()
                return claim
            if result.row is not None:
                earlier = self._decode(result.row)
                if earlier.state is not claim_rows.State.RELEASED:
                    return self._replay(earlier, content_digest)
            expected = result.row.version if result.row else table.ABSENT
            version = table.next_version(self.service.era, expected)
        raise _contention_error()

    def _is_restored_recently(self) -> bool:
        """Return whether claims that the table service lost may not have been written again yet."""
        now, era = self.clock.monotonic(), self.service.era
        if era != self.era:
            self.era, self.era_seen_at = era, now
        return now - self.era_seen_at < RESTORE_HOLD_SECONDS

    def _replay_or_refuse(
        self, team: str, key: str, content_digest: str
    ) -> claim_rows.StoredResponse:
        """Return the stored response of a key that is claimed; refuse any other."""
        earlier = self.find(team, key)
        if earlier is None:
            raise self._restored_error()
        return self._replay(earlier, content_digest)

    def _restored_error(self) -> errors.UnavailableError:
        self.meters.claims.labels("restored").inc()
        return errors.UnavailableError(
            "the table service was restored from an older copy; whether a request with this "
            "Idempotency-Key has run is not known yet",
            "send again with the same Idempotency-Key after Retry-After",
            RETRY_AFTER_SECONDS,
            errors.Outcome.UNKNOWN,
        )

    def _insert(self, claim: claim_rows.Claim) -> committer.WriteResult:
        try:
            return self.committer.commit(claim_rows.to_write(claim))
        except errors.PlatformError as error:
            self.meters.claims.labels("unavailable").inc()
            if isinstance(error, errors.AmbiguousWriteError):
                self.claim_reconciler.send(claim_reconciler.ReleaseUncertain(claim))
            raise errors.UnavailableError(
                f"the claim could not be written: {error.message}",
                "send again with the same Idempotency-Key after Retry-After",
                RETRY_AFTER_SECONDS,
            ) from error

    def _replay(self, claim: claim_rows.Claim, content_digest: str) -> claim_rows.StoredResponse:
        if claim.content_digest != content_digest:
            self.meters.claims.labels("conflict").inc()
            raise errors.IdempotencyConflictError(
                "the Idempotency-Key was used with different content",
                "use a new key for a new request",
            )
        return self.stored_response(claim)

    def stored_response(self, claim: claim_rows.Claim) -> claim_rows.StoredResponse:
        """Return the stored response of the request that holds a claim.

        Raises:
          errors.InProgressError: When the request is still running.
          errors.OutcomeUnknownError: When the request may have run.
          errors.AnswerExpiredError: When the request ran and its response has expired.
          errors.UnavailableError: When the response could not be read.
        """
        age = self._now() - claim.since
        if self.is_running(claim):
            raise errors.InProgressError(
                "the request with this Idempotency-Key is still running",
                "send again after Retry-After",
                RETRY_AFTER_SECONDS,
                errors.Outcome.UNKNOWN,
            )
        if claim.state is not claim_rows.State.DONE:
            raise errors.OutcomeUnknownError(
                "the request with this Idempotency-Key may have run",
                "check at the service whether it ran before using a new key",
                outcome=errors.Outcome.UNKNOWN,
            )
        is_response_removed = claim.response is None and not claim.response_object
        if is_response_removed or age > self.settings.response_ttl_seconds:
            raise _response_expired_error()
        self.meters.claims.labels("repeated").inc()
        return claim.response or self._load_response(claim)

    def is_running(self, claim: claim_rows.Claim) -> bool:
        """Return whether the request that holds a claim may still be running."""
        is_recent = self._now() - claim.since <= self.settings.max_running_seconds
        is_started = claim.state is claim_rows.State.STARTED
        return is_started and is_recent and not self.is_holder_gone(claim.router)

    def _load_response(self, claim: claim_rows.Claim) -> claim_rows.StoredResponse:
        try:
            content = self.store.get(claim.response_object)
        except errors.PlatformError as error:
            raise errors.UnavailableError(
                f"the stored response could not be read: {error.message}",
                "send again after Retry-After",
                RETRY_AFTER_SECONDS,
                errors.Outcome.RAN,
            ) from error
        if content is None:
            raise _response_expired_error()
        try:
            return claim_rows.decode_response(content)
        except errors.ClaimRowError as error:
            self.repeats.event("claim_row_rejected", "object", row=claim.key, cause=str(error))
            raise errors.AnswerExpiredError(
                "the request ran, but its stored response cannot be read",
                "use a new key only for a new request",
                outcome=errors.Outcome.RAN,
            ) from error

    def _decode(self, row: table.Row) -> claim_rows.Claim:
        """Return the claim that a row holds.

        Raises:
          errors.OutcomeUnknownError: When the row is malformed.
        """
        try:
            return claim_rows.decode(row)
        except errors.ClaimRowError as error:
            self.repeats.event("claim_row_rejected", "row", row=row.key, cause=str(error))
            raise errors.OutcomeUnknownError(
                "the request with this Idempotency-Key may have run; its claim cannot be read",
                "check at the service whether it ran before using a new key",
                outcome=errors.Outcome.UNKNOWN,
            ) from error

    def find(self, team: str, key: str) -> claim_rows.Claim | None:
        """Return the claim on a key, None when there is none or it was released.

        Raises:
          errors.OutcomeUnknownError: When the claim is malformed.
          errors.UnavailableError: When the table service is unavailable.
        """
        try:
            row = self.service.read([claim_rows.row_key(team, key)])[0]
        except errors.PlatformError as error:
            raise errors.UnavailableError(
                f"the claim could not be read: {error.message}",
                "send again after Retry-After",
                RETRY_AFTER_SECONDS,
                errors.Outcome.UNKNOWN,
            ) from error
        claim = self._decode(row) if row else None
        return claim if claim and claim.state is not claim_rows.State.RELEASED else None

    def finish(self, claim: claim_rows.Claim, response: claim_rows.StoredResponse) -> bool:
        """Record the response of a request whose claim the caller holds.

        A response longer than `MAX_INLINE_BYTES` is put into the object store. When that fails,
        the outcome is recorded as unknown.

        Returns:
          Whether the row was written; if not, the reconciler may write it later.
        """
        name = ""
        inline_response: claim_rows.StoredResponse | None = response
        if sum(len(part) for part in response.parts) > MAX_INLINE_BYTES:
            name = RESPONSE_OBJECT_PREFIX + claim.nonce
            inline_response = None
            if not self._store_response(name, response):
                return self.mark_unknown(claim)
        return self._transition(claim, claim_rows.State.DONE, inline_response, name)

    def _store_response(self, name: str, response: claim_rows.StoredResponse) -> bool:
        try:
            self.store.put(name, cbor2.dumps(dataclasses.astuple(response)))
            return True
        except errors.PlatformError:
            self.meters.claims.labels("answer_lost").inc()
            return False

    def mark_unknown(self, claim: claim_rows.Claim) -> bool:
        """Record that the request that holds a claim may have run."""
        return self._transition(claim, claim_rows.State.UNKNOWN)

    def release(self, claim: claim_rows.Claim) -> bool:
        """Release a claim whose request certainly did not run and will not run."""
        return self._transition(claim, claim_rows.State.RELEASED)

    def _transition(
        self,
        claim: claim_rows.Claim,
        state: claim_rows.State,
        response: claim_rows.StoredResponse | None = None,
        name: str = "",
    ) -> bool:
        next_claim = dataclasses.replace(
            claim,
            version=claim.version + 1,
            state=state,
            since=self._now(),
            response=response,
            response_object=name,
        )
        self.claim_reconciler.record(next_claim)
        try:
            result = self.committer.commit(claim_rows.to_write(next_claim))
            if not result.is_written and self.service.era > store_version.era_of(claim.version):
                self.claim_reconciler.send(claim_reconciler.RewriteLost(next_claim))
            return result.is_written
        except errors.PlatformError:
            self.meters.claims.labels("move_delayed").inc()
            self.claim_reconciler.send(claim_reconciler.RetryWrite(next_claim))
            return False

    def _now(self) -> float:
        return self.clock.now().timestamp()


def _response_expired_error() -> errors.AnswerExpiredError:
    return errors.AnswerExpiredError(
        "the request ran, but its stored response has expired",
        "use a new key only for a new request",
        outcome=errors.Outcome.RAN,
    )


def _contention_error() -> errors.UnavailableError:
    return errors.UnavailableError(
        "concurrent requests with this Idempotency-Key claimed and released it",
        "send again with the same Idempotency-Key after Retry-After",
        RETRY_AFTER_SECONDS,
    )
