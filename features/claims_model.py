"""State machine of claims over a table service that loses, delays and refuses writes."""

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
    table,
)

KEYS = ("k1",)
ROUTERS = ("r1", "r2")
WRITE_OUTCOMES = st.sampled_from(("ok", "ok", "answer lost", "delayed", "delayed", "down"))
END = st.sampled_from(("done", "unknown", "not run", "dies"))
EXAMPLES = 500
STEPS = 30


class ScriptedTable(table.MemoryTable):
    """Table whose next writes have scripted fates."""

    def __init__(self):
        super().__init__()
        self.next_outcome = "ok"
        self.delayed: list = []

    def transact(self, writes) -> int:
        """Write, lose the answer, delay the write, or refuse."""
        fate, self.next_outcome = self.next_outcome, "ok"
        if fate == "down":
            raise errors.PlatformUnavailableError("down", "wait")
        if fate == "delayed":
            self.delayed.append(list(writes))
            raise errors.AmbiguousWriteError("lost", "read back")
        try:
            return super().transact(writes)
        finally:
            if fate == "answer lost":
                raise errors.AmbiguousWriteError("lost", "read back") from None

    def apply_delayed(self) -> None:
        """Let the oldest delayed write take effect, if it still can."""
        if self.delayed:
            try:
                super().transact(self.delayed.pop(0))
            except errors.WriteConflictError:
                return


class DirectCommitter:
    """Committer that writes at once, a single time."""

    def __init__(self, service: ScriptedTable):
        self.service = service

    def commit(self, write: table.Write) -> committer.WriteResult:
        """Write one row."""
        try:
            self.service.transact([write])
            return committer.WriteResult(True)
        except errors.WriteConflictError:
            row = self.service.read([write.key])[0]
            is_own = row is not None and committer.is_result_of(write, row)
            return committer.WriteResult(is_own, row)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Requests of two routers for one key; counts the executions of each key."""

    def __init__(self):
        super().__init__()
        self.table = ScriptedTable()
        self.clock = clock.FakeClock()
        self.executed = dict.fromkeys(KEYS, 0)
        self.patience = 0
        self.held: list[tuple[str, claims.Claims, claim_rows.Claim]] = []
        self.routers = {name: self._claims(name) for name in ROUTERS}

    def _claims(self, name: str) -> claims.Claims:
        writer = DirectCommitter(self.table)
        repeater = claim_reconciler.ClaimReconciler(writer, self.table, self.clock)
        repeater.send = repeater.handle
        return claims.Claims(
            claims.ClaimSettings(name, response_ttl_seconds=50.0, max_running_seconds=20.0),
            self.table,
            object_store.MemoryObjectStore(),
            writer,
            repeater,
            self.clock,
            metrics.Metrics(),
        )

    @stateful.rule(router=st.sampled_from(ROUTERS), key=st.sampled_from(KEYS), fate=WRITE_OUTCOMES)
    def begin(self, router, key, fate):
        """Let a request arrive, with a fate of its write."""
        self.table.next_outcome = fate
        self.patience += 1
        keeper = self.routers[router]
        try:
            found = keeper.begin("team", key, "content")
        except errors.RequestError:
            return
        if isinstance(found, claim_rows.Claim):
            self.held.append((key, keeper, found))
        else:
            assert self.executed[key] == 1

    @stateful.precondition(lambda self: len(self.held) > 1 or (self.held and self.patience > 3))
    @stateful.rule(data=st.data(), end=END, fate=WRITE_OUTCOMES)
    def end(self, data, end, fate):
        """Let a holder, however late, run its request or prove that it does not run."""
        self.table.next_outcome = fate
        self.patience = 0
        key, keeper, claim = self.held.pop(data.draw(st.integers(0, len(self.held) - 1)))
        if end == "not run":
            keeper.release(claim)
            return
        self.executed[key] += 1
        if end == "done":
            keeper.finish(claim, claim_rows.StoredResponse(200, "text/plain", (b"answer",)))
        elif end == "unknown":
            keeper.mark_unknown(claim)

    @stateful.rule(fate=WRITE_OUTCOMES)
    def settle(self, fate):
        """Let all routers repeat their pending writes, the first one with a fate."""
        self.table.next_outcome = fate
        for keeper in self.routers.values():
            keeper.claim_reconciler.tick()

    @stateful.rule()
    def arrive(self):
        """Let a delayed write take effect."""
        self.table.apply_delayed()

    @stateful.rule(seconds=st.sampled_from((1.0, 30.0, 100.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.clock.advance(seconds)

    @stateful.invariant()
    def at_most_once(self):
        """No key runs twice."""
        assert max(self.executed.values()) <= 1, self.executed


def check() -> None:
    """Explore the machine with fixed seeds.

    Raises:
      AssertionError: When a key ran twice.
    """
    explore(ClaimMachine, EXAMPLES, STEPS)


def explore(machine, examples: int, steps: int) -> None:
    """Run a state machine with fixed seeds.

    Args:
      machine: Class of the machine.
      examples: Number of histories.
      steps: Most steps of each.
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
