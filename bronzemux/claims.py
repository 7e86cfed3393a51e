"""Claims that let a non-idempotent request run at most once.

A claim is a row of the table service, inserted before the first byte can reach an endpoint. It
goes from started to done, unknown or released, and never becomes free with the passing of time:
a holder that is only paused can still finish, and nobody else can start. Only the holder releases
its claim, after a proof that nothing ran. A released row stays, so that a delayed write of the
holder finds another version and fails.
"""

import dataclasses
import uuid

import cbor2

from bronzemux import claim_reconciler, claim_rows, committer, errors, metrics, object_store, table
from bronzemux import clock as clocks

OBJECT_PREFIX = "answer/"
INLINE_BYTES = 16 * 1024
BEGIN_ATTEMPTS = 3
RETRY_AFTER_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class ClaimSettings:
    """Settings of claims.

    Attributes:
      router: Identity of this router's process.
      answer_seconds: How long answers are kept.
      running_seconds: Longest run; a claim that is started for longer has an unknown outcome.
    """

    router: str
    answer_seconds: float = 24 * 3600.0
    running_seconds: float = 600.0


class Claims:
    """Claims of one router.

    Args:
      settings: Settings.
      service: Table service, for reads.
      store: Object store, for long answers.
      committer_task: Task that writes.
      reconciler_task: Task that repeats writes.
      clock: Source of time.
      meters: Metrics of the router.
      is_holder_gone: Returns whether the process of an identity is known to have ended.
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

    def begin(
        self, team: str, key: str, content: str
    ) -> claim_rows.Claim | claim_rows.StoredResponse:
        """claim_rows.Claim a request before it runs.

        Args:
          team: Name of the team.
          key: Idempotency key of the caller.
          content: Digest of the request's content.

        Returns:
          A claim that this caller holds, or the answer of the request that ran before.

        Raises:
          errors.IdempotencyConflictError: When the key was used with other content.
          errors.InProgressError: When the request still runs.
          errors.OutcomeUnknownError: When the earlier request may have run.
          errors.AnswerExpiredError: When it ran and its answer is gone.
          errors.UnavailableError: When the table service is out of reach; nothing ran.
        """
        nonce = uuid.uuid4().hex
        router = self.settings.router
        version = table.ABSENT + 1
        for _ in range(BEGIN_ATTEMPTS):
            claim = claim_rows.Claim(
                claim_rows.row_key(team, key),
                version,
                claim_rows.State.STARTED,
                nonce,
                content,
                router,
                self._now(),
            )
            verdict = self._insert(claim)
            if verdict.is_written:
                self.meters.claims.labels("begun").inc()
                return claim
            if verdict.row is not None:
                earlier = claim_rows.decode(verdict.row)
                if earlier.state is not claim_rows.State.RELEASED:
                    return self._earlier(earlier, content)
            version = verdict.row.version + 1 if verdict.row else table.ABSENT + 1
        raise _busy()

    def _insert(self, claim: claim_rows.Claim) -> committer.Verdict:
        try:
            return self.committer.commit(claim_rows.write_of(claim))
        except errors.PlatformError as error:
            self.meters.claims.labels("unavailable").inc()
            if isinstance(error, errors.AmbiguousWriteError):
                self.claim_reconciler.send(claim_reconciler.Withdraw(claim))
            raise errors.UnavailableError(
                f"the claim could not be written: {error.message}",
                "send again with the same Idempotency-Key after Retry-After",
                RETRY_AFTER_SECONDS,
            ) from error

    def _earlier(self, claim: claim_rows.Claim, content: str) -> claim_rows.StoredResponse:
        if claim.content != content:
            self.meters.claims.labels("conflict").inc()
            raise errors.IdempotencyConflictError(
                "the Idempotency-Key was used with other content",
                "use a new key for a new request",
            )
        return self.result(claim)

    def result(self, claim: claim_rows.Claim) -> claim_rows.StoredResponse:
        """Return the answer of a claim.

        Raises:
          errors.InProgressError: When the request still runs.
          errors.OutcomeUnknownError: When it may have run.
          errors.AnswerExpiredError: When it ran and the answer is no longer kept.
          errors.UnavailableError: When the answer cannot be read now.
        """
        age = self._now() - claim.since
        if self.is_running(claim):
            raise errors.InProgressError(
                "the request with this key is running",
                "ask again after Retry-After",
                RETRY_AFTER_SECONDS,
                errors.Outcome.UNKNOWN,
            )
        if claim.state is not claim_rows.State.DONE:
            raise errors.OutcomeUnknownError(
                "the request with this key may have run",
                "find out at the service before using a new key",
                outcome=errors.Outcome.UNKNOWN,
            )
        is_swept = claim.answer is None and not claim.answer_object
        if is_swept or age > self.settings.answer_seconds:
            raise _expired()
        self.meters.claims.labels("repeated").inc()
        return claim.answer or self._load(claim)

    def is_running(self, claim: claim_rows.Claim) -> bool:
        """Return whether the request of a claim may still bring its answer."""
        is_young = self._now() - claim.since <= self.settings.running_seconds
        is_started = claim.state is claim_rows.State.STARTED
        return is_started and is_young and not self.is_holder_gone(claim.router)

    def _load(self, claim: claim_rows.Claim) -> claim_rows.StoredResponse:
        try:
            content = self.store.get(claim.answer_object)
        except errors.PlatformError as error:
            raise errors.UnavailableError(
                f"the stored answer could not be read: {error.message}",
                "ask again after Retry-After",
                RETRY_AFTER_SECONDS,
                errors.Outcome.RAN,
            ) from error
        if content is None:
            raise _expired()
        return claim_rows.decode_answer(cbor2.loads(content))

    def find(self, team: str, key: str) -> claim_rows.Claim | None:
        """Return the claim of a key, None when there is none or it was released.

        Raises:
          errors.UnavailableError: When the table service is out of reach.
        """
        try:
            row = self.service.read([claim_rows.row_key(team, key)])[0]
        except errors.PlatformError as error:
            raise errors.UnavailableError(
                f"the claim could not be read: {error.message}",
                "ask again after Retry-After",
                RETRY_AFTER_SECONDS,
                errors.Outcome.UNKNOWN,
            ) from error
        claim = claim_rows.decode(row) if row else None
        return claim if claim and claim.state is not claim_rows.State.RELEASED else None

    def finish(self, claim: claim_rows.Claim, answer: claim_rows.StoredResponse) -> bool:
        """Record the answer of a claim that this caller holds.

        Returns:
          Whether it is recorded already; when not, the settler goes on trying.
        """
        name = ""
        inline: claim_rows.StoredResponse | None = answer
        if sum(len(part) for part in answer.parts) > INLINE_BYTES:
            name = OBJECT_PREFIX + claim.nonce
            inline = None
            if not self._store(name, answer):
                return self.mark_unknown(claim)
        return self._move(claim, claim_rows.State.DONE, inline, name)

    def _store(self, name: str, answer: claim_rows.StoredResponse) -> bool:
        try:
            self.store.put(name, cbor2.dumps(dataclasses.astuple(answer)))
            return True
        except errors.PlatformError:
            self.meters.claims.labels("answer_lost").inc()
            return False

    def mark_unknown(self, claim: claim_rows.Claim) -> bool:
        """Record that the request of a claim may have run."""
        return self._move(claim, claim_rows.State.UNKNOWN)

    def release(self, claim: claim_rows.Claim) -> bool:
        """Give a claim back after a proof that the request did not run and will not."""
        return self._move(claim, claim_rows.State.RELEASED)

    def _move(
        self,
        claim: claim_rows.Claim,
        state: claim_rows.State,
        answer: claim_rows.StoredResponse | None = None,
        name: str = "",
    ) -> bool:
        moved = dataclasses.replace(
            claim,
            version=claim.version + 1,
            state=state,
            since=self._now(),
            answer=answer,
            answer_object=name,
        )
        try:
            return self.committer.commit(claim_rows.write_of(moved)).is_written
        except errors.PlatformError:
            self.meters.claims.labels("move_delayed").inc()
            self.claim_reconciler.send(claim_reconciler.Settle(moved))
            return False

    def _now(self) -> float:
        return self.clock.now().timestamp()


def _expired() -> errors.AnswerExpiredError:
    return errors.AnswerExpiredError(
        "the request ran; its answer is no longer kept",
        "use a new key only for a new request",
        outcome=errors.Outcome.RAN,
    )


def _busy() -> errors.UnavailableError:
    return errors.UnavailableError(
        "several requests with this key were released at once",
        "send again with the same Idempotency-Key after Retry-After",
        RETRY_AFTER_SECONDS,
    )
