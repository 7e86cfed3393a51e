"""State machine test of the configuration head on a table service with failing writes.

The table service loses, delays and rejects writes.
"""

from hypothesis import stateful
from hypothesis import strategies as st

from bronzemux import clock, config_store, errors
from features import claims_model

OPERATORS = ("amiran", "nino")
EXAMPLES = 150
STEPS = 25
TEXT = """
preset = "ordinary"
presets = [{{name = "ordinary"}}, {{name = "peak"}}, {{name = "maintenance"}}]
teams = []
models = []
endpoints = []
[deployment]
name = "{name}"
data_centres = ["one"]
"""


class HeadMachine(stateful.RuleBasedStateMachine):
    """Operators who change the configuration concurrently, retry changes and lose responses."""

    def __init__(self):
        super().__init__()
        self.service = claims_model.ScriptedTable()
        self.store = config_store.ConfigStore(self.service, clock.FakeClock())
        self.changes: dict[str, config_store.Change] = {}
        self.accepted: dict[str, int] = {}
        self.rejected: set[str] = set()
        self.texts_by_version: dict[int, str] = {}
        self.change_count = 0

    @stateful.rule(operator=st.sampled_from(OPERATORS), is_stale=st.booleans())
    def propose(self, operator, is_stale):
        """Prepare a change based on the newest version, or on the version before it."""
        self.change_count += 1
        version = self.store.newest_version()
        expected = max(0, version - 1) if is_stale else version
        text = TEXT.format(name=f"change-{self.change_count}")
        self.changes[operator] = config_store.Change(
            expected, text, operator, "test", f"id-{self.change_count}"
        )

    @stateful.precondition(lambda self: self.changes)
    @stateful.rule(data=st.data(), write_outcome=claims_model.WRITE_OUTCOMES)
    def apply(self, data, write_outcome):
        """Send the prepared change of an operator, possibly again."""
        change = self.changes[data.draw(st.sampled_from(sorted(self.changes)))]
        self.service.next_outcome = write_outcome
        try:
            head = self.store.apply(change)
        except errors.ConfigConflictError:
            assert change.change_id not in self.accepted
            self.rejected.add(change.change_id)
        except errors.PlatformError:
            return
        else:
            assert head.change_id == change.change_id
            assert self.accepted.setdefault(change.change_id, head.version) == head.version

    @stateful.rule()
    def apply_delayed(self):
        """Let a delayed write take effect."""
        self.service.apply_delayed()

    @stateful.invariant()
    def check_history(self):
        """Check that versions are consecutive and immutable and hold each change at most once."""
        heads = self.store.history(1000)[::-1]
        assert [head.version for head in heads] == list(range(1, len(heads) + 1))
        assert self.store.newest_version() == len(heads)
        ids = [head.change_id for head in heads]
        assert len(set(ids)) == len(ids)
        assert not self.rejected & set(ids)
        for head in heads:
            assert self.texts_by_version.setdefault(head.version, head.text) == head.text
        assert all(ids[version - 1] == item for item, version in self.accepted.items())


def check() -> None:
    """Run the state machine with fixed seeds.

    Raises:
      AssertionError: When a version changed or vanished, or an operator got a wrong result.
    """
    claims_model.explore(HeadMachine, EXAMPLES, STEPS)
