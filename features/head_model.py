"""State machine of the configuration head over a table service that loses, delays and refuses."""

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
    """Operators that race, repeat changes and lose answers."""

    def __init__(self):
        super().__init__()
        self.service = claims_model.ScriptedTable()
        self.store = config_store.ConfigStore(self.service, clock.FakeClock())
        self.changes: dict[str, config_store.Change] = {}
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.seen: dict[int, str] = {}
        self.count = 0

    @stateful.rule(operator=st.sampled_from(OPERATORS), is_stale=st.booleans())
    def propose(self, operator, is_stale):
        """Let an operator prepare a change of the head, or of the one before it."""
        self.count += 1
        version = self.store.newest_version()
        expected = max(0, version - 1) if is_stale else version
        text = TEXT.format(name=f"change-{self.count}")
        self.changes[operator] = config_store.Change(
            expected, text, operator, "test", f"id-{self.count}"
        )

    @stateful.precondition(lambda self: self.changes)
    @stateful.rule(data=st.data(), fate=claims_model.WRITE_OUTCOMES)
    def apply(self, data, fate):
        """Let an operator send a change, or send it once more."""
        change = self.changes[data.draw(st.sampled_from(sorted(self.changes)))]
        self.service.next_outcome = fate
        try:
            head = self.store.apply(change)
        except errors.ConfigConflictError:
            assert change.change_id not in self.accepted
            self.refused.add(change.change_id)
        except errors.PlatformError:
            return
        else:
            assert head.change_id == change.change_id
            assert self.accepted.setdefault(change.change_id, head.version) == head.version

    @stateful.rule()
    def arrive(self):
        """Let a delayed write take effect."""
        self.service.apply_delayed()

    @stateful.invariant()
    def is_consistent(self):
        """Versions only rise, stay as they were, and hold each change at most once."""
        heads = self.store.history(1000)[::-1]
        assert [head.version for head in heads] == list(range(1, len(heads) + 1))
        assert self.store.newest_version() == len(heads)
        ids = [head.change_id for head in heads]
        assert len(set(ids)) == len(ids)
        assert not self.refused & set(ids)
        for head in heads:
            assert self.seen.setdefault(head.version, head.text) == head.text
        assert all(ids[version - 1] == item for item, version in self.accepted.items())


def check() -> None:
    """Explore the machine with fixed seeds.

    Raises:
      AssertionError: When a version changed, vanished or told an operator something untrue.
    """
    claims_model.explore(HeadMachine, EXAMPLES, STEPS)
