"""State machine test of claims on a table service that loses, delays and rejects writes."""

import dataclasses

from hypothesis import Phase, settings, stateful
from hypothesis import strategies as st

from bronzemux import (
    claim_reconciler,
    claim_rows,
    claims,
    clock,
    committer,
    errors,
    metrics,
    object_store,
    store_version,
    table,
)

KEYS = ("k1",)
ROUTERS = ("r1", "r2")
WRITE_OUTCOMES = st.sampled_from(("ok", "ok", "response lost", "delayed", "delayed", "down"))
END_RESULTS = st.sampled_from(("done", "unknown", "not run", "crashed"))
MAX_COPY_AGE_SECONDS = 60.0
RARE_FAILURES = st.sampled_from(("ok",) * 8 + ("response lost", "delayed", "down"))
RESPONSE = claim_rows.StoredResponse(200, "text/plain", (b"answer",))
EXAMPLES = 500
# Histories in which a fault that is put into the code must be found; the run ends at the first.
# Which histories hypothesis generates depends on the modules that are imported.
DETECTION_EXAMPLES = 4000
STEPS = 30


class ScriptedTable(table.MemoryTable):
    """Table in memory whose next write has a given outcome."""

    def __init__(self):
        super().__init__()
        self.next_outcome = "ok"
        self.delayed: list = []

    def transact(self, writes) -> int:
        """Apply the writes, lose the response, delay the writes, or fail."""
        outcome, self.next_outcome = self.next_outcome, "ok"
        if outcome == "down":
            raise errors.PlatformUnavailableError("the table service is down", "try again later")
        if outcome == "delayed":
            self.delayed.append(list(writes))
            raise errors.AmbiguousWriteError("the response was lost", "read the row back")
        try:
            return super().transact(writes)
        finally:
            if outcome == "response lost":
                raise errors.AmbiguousWriteError(
                    "the response was lost", "read the row back"
                ) from None

    def in_current_era(self, writes) -> list[table.Write]:
        """Return writes as the table compares them: by the numbers of the expected versions."""
        return [
            dataclasses.replace(write, expected=self._in_current_era(write.expected))
            for write in writes
        ]

    def _in_current_era(self, expected: int) -> int:
        if expected == table.ABSENT:
            return expected
        return store_version.combine(self.era, store_version.number_of(expected))

    def apply_delayed(self) -> None:
        """Apply the oldest delayed writes, unless they conflict by now."""
        if self.delayed:
            try:
                super().transact(self.in_current_era(self.delayed.pop(0)))
            except errors.WriteConflictError:
                return


class TableClient(table.TableService):
    """One process's client of the table, which learns the era from responses.

    Args:
      service: The table.
    """

    def __init__(self, service: ScriptedTable):
        self.service = service

    def read(self, keys):
        """Return rows and learn the era."""
        self.era = self.service.era
        return self.service.read(keys)

    def transact(self, writes) -> int:
        """Send the numbers of the expected versions, which may match in a later era by chance."""
        known = self.era
        expected = writes[0].expected
        if expected != table.ABSENT and store_version.era_of(expected) != known:
            raise errors.WriteConflictError((writes[0].key,))
        try:
            version = self.service.transact(self.service.in_current_era(writes))
        except errors.WriteConflictError:
            self.era = self.service.era
            raise
        self.era = self.service.era
        if self.era != known:
            raise errors.AmbiguousWriteError("the era has changed", "read the row back")
        return version


class DirectCommitter:
    """Committer that writes immediately and only once."""

    def __init__(self, service: table.TableService):
        self.service = service

    def commit(self, write: table.Write) -> committer.WriteResult:
        """Write one row."""
        try:
            self.service.transact([write])
            return committer.WriteResult(True)
        except errors.WriteConflictError:
            row = self.service.read([write.key])[0]
            is_written = row is not None and committer.is_result_of(write, row)
            return committer.WriteResult(is_written, row)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Requests with the same key at two routers, and the number of executions of each key."""

    def __init__(self):
        super().__init__()
        self.table = ScriptedTable()
        self.clock = clock.FakeClock()
        self.executed = dict.fromkeys(KEYS, 0)
        self.begins_since_end = 0
        self.holders: list[tuple[str, claims.Claims, claim_rows.Claim]] = []
        self.routers = {name: self._claims(name) for name in ROUTERS}

    def _claims(self, name: str) -> claims.Claims:
        client = TableClient(self.table)
        writer = DirectCommitter(client)
        reconciler = claim_reconciler.ClaimReconciler(writer, client, self.clock)
        reconciler.send = reconciler.handle
        return claims.Claims(
            claims.ClaimSettings(name, response_ttl_seconds=50.0, max_running_seconds=20.0),
            client,
            object_store.MemoryObjectStore(),
            writer,
            reconciler,
            self.clock,
            metrics.Metrics(),
        )

    @stateful.rule(
        router=st.sampled_from(ROUTERS), key=st.sampled_from(KEYS), insert_outcome=WRITE_OUTCOMES
    )
    def begin(self, router, key, insert_outcome):
        """Begin a request whose first write has a given outcome."""
        self.table.next_outcome = insert_outcome
        self.begins_since_end += 1
        router_claims = self.routers[router]
        try:
            found = router_claims.begin("team", key, "content")
        except errors.RequestError:
            return
        if isinstance(found, claim_rows.Claim):
            self.holders.append((key, router_claims, found))
        else:
            assert self.executed[key] == 1

    @stateful.precondition(
        lambda self: len(self.holders) > 1 or (self.holders and self.begins_since_end > 3)
    )
    @stateful.rule(data=st.data(), end=END_RESULTS, write_outcome=WRITE_OUTCOMES)
    def end(self, data, end, write_outcome):
        """End the request of a holder after any delay: it ran, crashed, or did not run."""
        self.table.next_outcome = write_outcome
        self.begins_since_end = 0
        key, router_claims, claim = self.holders.pop(
            data.draw(st.integers(0, len(self.holders) - 1))
        )
        if end == "not run":
            router_claims.release(claim)
            return
        self.executed[key] += 1
        if end == "done":
            router_claims.finish(claim, RESPONSE)
        elif end == "unknown":
            router_claims.mark_unknown(claim)

    @stateful.rule(write_outcome=WRITE_OUTCOMES)
    def reconcile(self, write_outcome):
        """Let all routers process their pending requests; the first write has a given outcome."""
        self.table.next_outcome = write_outcome
        for router_claims in self.routers.values():
            router_claims.claim_reconciler.tick()

    @stateful.rule()
    def apply_delayed(self):
        """Let a delayed write take effect."""
        self.table.apply_delayed()

    @stateful.rule(seconds=st.sampled_from((1.0, 30.0, 100.0)))
    def wait(self, seconds):
        """Advance the clock."""
        self.clock.advance(seconds)

    @stateful.invariant()
    def check_at_most_once(self):
        """Check that the request of no key was executed twice."""
        assert max(self.executed.values()) <= 1, self.executed


class RestoredClaimMachine(ClaimMachine):
    """The same, on a table that is restored from copies up to `MAX_COPY_AGE_SECONDS` old."""

    def __init__(self):
        super().__init__()
        self.is_settling = False
        self.copies = [(self.clock.monotonic(), self.table.copy())]

    def _copy(self) -> None:
        self.copies = [*self.copies[-2:], (self.clock.monotonic(), self.table.copy())]

    @stateful.rule(
        router=st.sampled_from(ROUTERS), key=st.sampled_from(KEYS), insert_outcome=RARE_FAILURES
    )
    def begin(self, router, key, insert_outcome):
        """Copy the table and begin a request."""
        self._copy()
        super().begin(router, key, insert_outcome)

    @stateful.precondition(lambda self: self.holders)
    @stateful.rule(data=st.data(), end=END_RESULTS, write_outcome=RARE_FAILURES)
    def end(self, data, end, write_outcome):
        """Copy the table and end the request of a holder."""
        self._copy()
        super().end(data, end, write_outcome)

    @stateful.rule(router=st.sampled_from(ROUTERS), write_outcome=RARE_FAILURES)
    def run(self, router, write_outcome):
        """Run a request from its begin to its end, without a wait."""
        count = len(self.holders)
        super().begin(router, KEYS[0], "ok")
        if len(self.holders) > count:
            self._copy()
            key, router_claims, claim = self.holders.pop()
            self.executed[key] += 1
            self.table.next_outcome = write_outcome
            router_claims.finish(claim, RESPONSE)

    @stateful.rule(seconds=st.sampled_from((1.0, 15.0, 30.0)))
    def wait(self, seconds):
        """Advance the clock.

        Routers reach the table, and delayed writes take effect, within `RESTORE_HOLD_SECONDS` of a
        restore.
        """
        if self.is_settling:
            self._settle()
        super().wait(seconds)

    def _settle(self) -> None:
        self.is_settling = False
        self.table.next_outcome = "ok"
        for router_claims in self.routers.values():
            reconciler = router_claims.claim_reconciler
            reconciler.next_check_at = 0.0
            reconciler.tick()
            while reconciler.pending:
                reconciler.tick()
        while self.table.delayed:
            self.table.apply_delayed()

    @stateful.rule(age=st.integers(1, 3))
    def restore(self, age):
        """Restore the table from one of the last copies."""
        copied_at, copied = self.copies[-min(age, len(self.copies))]
        is_recent = self.clock.monotonic() - copied_at <= MAX_COPY_AGE_SECONDS
        if is_recent and not self.is_settling:
            self.table.restore(copied)
            self.is_settling = True


def check(machine=ClaimMachine, examples: int = EXAMPLES) -> None:
    """Run a state machine with fixed seeds.

    Args:
      machine: Class of the state machine.
      examples: Number of generated histories.

    Raises:
      AssertionError: When the request of a key was executed twice.
    """
    explore(machine, examples, STEPS)


def explore(machine, examples: int, steps: int) -> None:
    """Run a state machine with fixed seeds.

    Args:
      machine: Class of the state machine.
      examples: Number of generated histories.
      steps: Maximum number of steps per history.
    """
    stateful.run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            phases=(Phase.generate,),
        ),
    )
