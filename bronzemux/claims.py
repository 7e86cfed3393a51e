"""Claims that let a non-idempotent request run at most once.

A claim is a row of the table service, inserted before the first byte can reach an endpoint. It
goes from started to done, unknown or released, and never becomes free with the passing of time:
a holder that is only paused can still finish, and nobody else can start. Only the holder releases
its claim, after a proof that nothing ran. A released row stays, so that a delayed write of the
holder finds another version and fails.
"""

import collections
import dataclasses
import enum
import functools
import hashlib
import uuid

import cbor2
from gevent import event

from bronzemux import clock as clocks
from bronzemux import errors, logs, metrics, objects, supervisor, table

KEY_PREFIX = "claim/"
OBJECT_PREFIX = "answer/"
INLINE_BYTES = 16 * 1024
MAX_BATCH = 128
WRITE_ATTEMPTS = 4
BACKOFF_SECONDS = 0.05
BEGIN_ATTEMPTS = 3
SETTLE_SECONDS = 1.0
MAX_PENDING = 10_000
RETRY_AFTER_SECONDS = 2.0
PURPOSE = "claim"


class State(enum.Enum):
    """State of a claim."""

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


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


@dataclasses.dataclass(frozen=True)
class StoredAnswer:
    """Answer of a request that ran.

    Attributes:
      status: HTTP status.
      content_type: Type of the parts.
      parts: Payloads of the parts; one for an answer that is not streamed.
    """

    status: int
    content_type: str
    parts: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class Claim:
    """A row as it is stored.

    Attributes:
      key: Key of the row.
      version: Version of the row.
      state: State.
      nonce: Identity of the request that holds the claim.
      content: Digest of the request's content.
      router: Router that holds it.
      since: Seconds of UTC time at which the state was entered.
      answer: Answer, when done and short.
      answer_object: Name of the object with a long answer.
    """

    key: str
    version: int
    state: State
    nonce: str
    content: str
    router: str
    since: float
    answer: StoredAnswer | None = None
    answer_object: str = ""


def row_key(team: str, key: str) -> str:
    """Return the row key of a team's idempotency key.

    Args:
      team: Name of the team.
      key: Idempotency key of the caller.
    """
    hasher = hashlib.blake2b(digest_size=16)
    for part in (team.encode(), key.encode()):
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return KEY_PREFIX + hasher.hexdigest()


def encode(claim: Claim) -> bytes:
    """Return the content of a row."""
    answer = dataclasses.astuple(claim.answer) if claim.answer else None
    fields = [
        claim.state.value,
        claim.nonce,
        claim.content,
        claim.router,
        claim.since,
        answer,
        claim.answer_object,
    ]
    return cbor2.dumps(fields)


def decode(row: table.Row) -> Claim:
    """Return the claim that a row holds."""
    state, nonce, content, router, since, answer, name = cbor2.loads(row.value)
    return Claim(
        row.key,
        row.version,
        State(state),
        nonce,
        content,
        router,
        since,
        _decode_answer(answer),
        name,
    )


def _decode_answer(fields) -> StoredAnswer | None:
    if fields is None:
        return None
    status, content_type, parts = fields
    return StoredAnswer(status, content_type, tuple(parts))


# Group commit


@dataclasses.dataclass(frozen=True)
class Commit:
    """Ask for one write; the reply is a `Verdict` or an error."""

    write: table.Write
    reply: event.AsyncResult


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Result of one conditional write.

    Attributes:
      is_written: Whether it took effect.
      row: The row that is there instead, None when there is none.
    """

    is_written: bool
    row: table.Row | None = None


class Committer(supervisor.Task):
    """Writes rows of many requests in one transaction.

    While a transaction is under way, further writes gather for the next one.

    Args:
      service: Table service.
      clock: Source of time.
      meters: Metrics of the router.
    """

    def __init__(self, service: table.TableService, clock: clocks.Clock, meters: metrics.Metrics):
        super().__init__("committer", clock)
        self.service = service
        self.meters = meters
        self.transactions = 0
        self.writes = 0
        self.batch: list[Commit] = []

    def start_state(self) -> None:
        """Refuse what was under way when the task failed."""
        for commit in self.batch:
            if not commit.reply.ready():
                commit.reply.set_exception(
                    errors.AmbiguousWriteError("the committer restarted", "read the row back")
                )
        self.batch = []

    def commit(self, write: table.Write) -> Verdict:
        """Write one row.

        Args:
          write: The write; its content is unique, so that a lost answer can be read back.

        Raises:
          errors.PlatformUnavailableError: When nothing was written.
          errors.AmbiguousWriteError: When it is not known whether it was written.
        """
        reply = event.AsyncResult()
        self.send(Commit(write, reply))
        return reply.get()

    def handle(self, message: Commit) -> None:
        """Write a batch that starts with one write."""
        self.batch = [message]
        later = self._gather()
        try:
            self._write(list(self.batch))
        except errors.PlatformError as error:
            for commit in self.batch:
                if not commit.reply.ready():
                    commit.reply.set_exception(error)
        self.batch = []
        for commit in later:
            self.send(commit)

    def _gather(self) -> list[Commit]:
        """Fill the batch; return writes of rows that the batch already writes."""
        later = []
        keys = {self.batch[0].write.key}
        while len(self.batch) < MAX_BATCH and not self.mailbox.empty():
            commit = self.mailbox.get()
            if not isinstance(commit, Commit):
                self.mailbox.put(commit)
                break
            if commit.write.key in keys:
                later.append(commit)
            else:
                keys.add(commit.write.key)
                self.batch.append(commit)
        return later

    def _write(self, pending: list[Commit]) -> None:
        is_ambiguous = False
        last: errors.PlatformError | None = None
        for attempt in range(WRITE_ATTEMPTS):
            if not pending:
                return
            try:
                self._transact(pending)
                _resolve(pending, Verdict(True))
                return
            except errors.WriteConflictError as conflict:
                pending = self._settle_conflicts(pending, conflict, is_ambiguous)
            except errors.AmbiguousWriteError as error:
                is_ambiguous = True
                last = error
                self._back_off(attempt)
            except errors.PlatformUnavailableError as error:
                last = error
                self._back_off(attempt)
        if pending:
            raise _gave_up(is_ambiguous, last)

    def _transact(self, pending: list[Commit]) -> None:
        self.transactions += 1
        self.writes += len(pending)
        result = "error"
        try:
            self.service.transact([commit.write for commit in pending])
            result = "ok"
        except errors.WriteConflictError:
            result = "conflict"
            raise
        finally:
            self.meters.platform_calls.labels(PURPOSE, result).inc()

    def _settle_conflicts(self, pending: list[Commit], conflict, is_ambiguous) -> list[Commit]:
        """Reply to the writes that conflict; return the others."""
        keys = set(conflict.keys)
        losers = [commit for commit in pending if commit.write.key in keys]
        try:
            rows = self.service.read([commit.write.key for commit in losers])
        except errors.PlatformUnavailableError as error:
            raise _gave_up(is_ambiguous, error) from error
        for commit, row in zip(losers, rows, strict=True):
            is_written = row is not None and _is_own(commit.write, row)
            commit.reply.set(Verdict(is_written, row))
        return [commit for commit in pending if commit.write.key not in keys]

    def _back_off(self, attempt: int) -> None:
        self.clock.sleep(BACKOFF_SECONDS * 2**attempt)


def _resolve(commits: list[Commit], value) -> None:
    for commit in commits:
        commit.reply.set(value)


def _is_own(write: table.Write, row: table.Row) -> bool:
    """Return whether a row shows that a write took effect although its answer was lost."""
    return row.value == write.value and row.version == write.expected + 1


def _gave_up(is_ambiguous: bool, last: errors.PlatformError) -> errors.PlatformError:
    if is_ambiguous:
        return errors.AmbiguousWriteError(last.message, last.remedy)
    return last


@dataclasses.dataclass(frozen=True)
class Settle:
    """Ask for a claim to be written again until it is, after the service was out of reach."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Withdraw:
    """Ask for a claim to be released whose insertion may or may not have taken effect."""

    claim: Claim


class Settler(supervisor.Task):
    """Repeats the writes that move claims on, while the table service is out of reach.

    Args:
      committer: Task that writes.
      service: Table service, for reads.
      clock: Source of time.
    """

    def __init__(self, committer: Committer, service: table.TableService, clock: clocks.Clock):
        super().__init__("settler", clock, SETTLE_SECONDS)
        self.committer = committer
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
        verdict = self.committer.commit(_write_of(message.claim))
        if not verdict.is_written:
            logs.event("claim_superseded", "debug", row=message.claim.key)

    @_carry_out.register
    def _withdraw(self, message: Withdraw) -> None:
        """Release the claim where it stands, or keep its delayed insertion from taking effect.

        The row may be another request's with the same version, so its nonce decides.
        """
        claim = message.claim
        row = self.service.read([claim.key])[0]
        if row is not None and decode(row).nonce != claim.nonce:
            return
        version = row.version + 1 if row else table.ABSENT + 1
        released = dataclasses.replace(claim, version=version, state=State.RELEASED)
        verdict = self.committer.commit(_write_of(released))
        if not verdict.is_written and row is None:
            self.pending.append(message)


def _write_of(claim: Claim) -> table.Write:
    """Return the write that brings a row to the version of a claim."""
    return table.Write(claim.key, claim.version - 1, encode(claim))


# Claims


class Claims:
    """Claims of one router.

    Args:
      settings: Settings.
      service: Table service, for reads.
      store: Object store, for long answers.
      committer: Task that writes.
      settler: Task that repeats writes.
      clock: Source of time.
      meters: Metrics of the router.
      is_holder_gone: Returns whether the process of an identity is known to have ended.
    """

    def __init__(
        self,
        settings,
        service,
        store,
        committer,
        settler,
        clock,
        meters,
        is_holder_gone=lambda holder: False,
    ):
        self.settings: ClaimSettings = settings
        self.service: table.TableService = service
        self.store: objects.ObjectStore = store
        self.committer: Committer = committer
        self.settler: Settler = settler
        self.clock: clocks.Clock = clock
        self.meters: metrics.Metrics = meters
        self.is_holder_gone = is_holder_gone

    def begin(self, team: str, key: str, content: str) -> Claim | StoredAnswer:
        """Claim a request before it runs.

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
            claim = Claim(
                row_key(team, key), version, State.STARTED, nonce, content, router, self._now()
            )
            verdict = self._insert(claim)
            if verdict.is_written:
                self.meters.claims.labels("begun").inc()
                return claim
            if verdict.row is not None:
                earlier = decode(verdict.row)
                if earlier.state is not State.RELEASED:
                    return self._earlier(earlier, content)
            version = verdict.row.version + 1 if verdict.row else table.ABSENT + 1
        raise _busy()

    def _insert(self, claim: Claim) -> Verdict:
        try:
            return self.committer.commit(_write_of(claim))
        except errors.PlatformError as error:
            self.meters.claims.labels("unavailable").inc()
            if isinstance(error, errors.AmbiguousWriteError):
                self.settler.send(Withdraw(claim))
            raise errors.UnavailableError(
                f"the claim could not be written: {error.message}",
                "send again with the same Idempotency-Key after Retry-After",
                RETRY_AFTER_SECONDS,
            ) from error

    def _earlier(self, claim: Claim, content: str) -> StoredAnswer:
        if claim.content != content:
            self.meters.claims.labels("conflict").inc()
            raise errors.IdempotencyConflictError(
                "the Idempotency-Key was used with other content",
                "use a new key for a new request",
            )
        return self.result(claim)

    def result(self, claim: Claim) -> StoredAnswer:
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
        if claim.state is not State.DONE:
            raise errors.OutcomeUnknownError(
                "the request with this key may have run",
                "find out at the service before using a new key",
                outcome=errors.Outcome.UNKNOWN,
            )
        if age > self.settings.answer_seconds:
            raise _expired()
        self.meters.claims.labels("repeated").inc()
        return claim.answer or self._load(claim)

    def is_running(self, claim: Claim) -> bool:
        """Return whether the request of a claim may still bring its answer."""
        is_young = self._now() - claim.since <= self.settings.running_seconds
        is_started = claim.state is State.STARTED
        return is_started and is_young and not self.is_holder_gone(claim.router)

    def _load(self, claim: Claim) -> StoredAnswer:
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
        return _decode_answer(cbor2.loads(content))

    def find(self, team: str, key: str) -> Claim | None:
        """Return the claim of a key, None when there is none or it was released.

        Raises:
          errors.UnavailableError: When the table service is out of reach.
        """
        try:
            row = self.service.read([row_key(team, key)])[0]
        except errors.PlatformError as error:
            raise errors.UnavailableError(
                f"the claim could not be read: {error.message}",
                "ask again after Retry-After",
                RETRY_AFTER_SECONDS,
                errors.Outcome.UNKNOWN,
            ) from error
        claim = decode(row) if row else None
        return claim if claim and claim.state is not State.RELEASED else None

    def finish(self, claim: Claim, answer: StoredAnswer) -> bool:
        """Record the answer of a claim that this caller holds.

        Returns:
          Whether it is recorded already; when not, the settler goes on trying.
        """
        name = ""
        inline: StoredAnswer | None = answer
        if sum(len(part) for part in answer.parts) > INLINE_BYTES:
            name = OBJECT_PREFIX + claim.nonce
            inline = None
            if not self._store(name, answer):
                return self.mark_unknown(claim)
        return self._move(claim, State.DONE, inline, name)

    def _store(self, name: str, answer: StoredAnswer) -> bool:
        try:
            self.store.put(name, cbor2.dumps(dataclasses.astuple(answer)))
            return True
        except errors.PlatformError:
            self.meters.claims.labels("answer_lost").inc()
            return False

    def mark_unknown(self, claim: Claim) -> bool:
        """Record that the request of a claim may have run."""
        return self._move(claim, State.UNKNOWN)

    def release(self, claim: Claim) -> bool:
        """Give a claim back after a proof that the request did not run and will not."""
        return self._move(claim, State.RELEASED)

    def _move(
        self, claim: Claim, state: State, answer: StoredAnswer | None = None, name: str = ""
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
            return self.committer.commit(_write_of(moved)).is_written
        except errors.PlatformError:
            self.meters.claims.labels("move_delayed").inc()
            self.settler.send(Settle(moved))
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
