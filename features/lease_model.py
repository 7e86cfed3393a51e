"""State machine of one lease between contenders that are paused, restarted and lose answers."""

from hypothesis import stateful
from hypothesis import strategies as st

from bronzemux import clock, errors, lease
from features import claims_model

CONTENDERS = 3
SECONDS = 9.0
MARGIN_SECONDS = 2.0
FATE = st.sampled_from(("ok",) * 6 + ("answer lost", "delayed", "down"))
RUNNING = st.permutations(range(CONTENDERS)).flatmap(
    lambda order: st.integers(0, CONTENDERS).map(lambda count: tuple(order[:count]))
)
SECONDS_PASSED = st.sampled_from((0.5, 1.0, 2.0, 4.0, 9.5))
EXAMPLES = 300
STEPS = 50


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Contenders whose clocks run alike from different starts."""

    lengths = (SECONDS,) * CONTENDERS

    def __init__(self):
        super().__init__()
        self.service = claims_model.ScriptedTable()
        self.clocks = [clock.FakeClock() for _ in range(CONTENDERS)]
        self.starts = 0
        self.leases = [self._lease(number) for number in range(CONTENDERS)]
        for number, item in enumerate(self.clocks):
            item.advance(1000.0 * number)
        self.last: tuple[str, int] = ("", 0)

    def _lease(self, number: int) -> lease.Lease:
        self.starts += 1
        length = lease.LeaseSettings(self.lengths[number], MARGIN_SECONDS)
        holder = f"c{number}@{self.starts}"
        return lease.Lease("x", holder, length, self.service, self.clocks[number])

    @stateful.rule(running=RUNNING, fate=FATE, seconds=SECONDS_PASSED)
    def run(self, running, fate, seconds):
        """Let time pass and some contenders run; the others are paused."""
        for item in self.clocks:
            item.advance(seconds)
        self.service.fate = fate
        for number in running:
            self._maintain(self.leases[number])
            self.has_one_holder()

    def _maintain(self, contender: lease.Lease) -> None:
        try:
            is_held = contender.acquire_or_renew()
        except errors.PlatformError:
            return
        if is_held:
            self._check_token(contender)

    def _check_token(self, contender: lease.Lease) -> None:
        holder, token = self.last
        if holder != contender.holder:
            assert contender.token > token, (self.last, contender.holder, contender.token)
        self.last = (contender.holder, contender.token)

    @stateful.rule(number=st.integers(0, CONTENDERS - 1), fate=FATE, chance=st.integers(0, 4))
    def release(self, number, fate, chance):
        """Let a contender give the lease back, now and then."""
        if chance:
            return
        self.service.fate = fate
        try:
            self.leases[number].release()
        except errors.PlatformError:
            return

    @stateful.rule(number=st.integers(0, CONTENDERS - 1), chance=st.integers(0, 4))
    def restart(self, number, chance):
        """Replace a contender by a new process, now and then."""
        if not chance:
            self.leases[number] = self._lease(number)

    @stateful.rule()
    def arrive(self):
        """Let a delayed write take effect."""
        self.service.arrive()

    @stateful.invariant()
    def has_one_holder(self):
        """At most one contender holds the lease."""
        holders = [item.holder for item in self.leases if item.is_held()]
        assert len(holders) <= 1, holders


class ImpatientMachine(LeaseMachine):
    """Machine whose last contender takes over after a third of the time."""

    lengths = (SECONDS, SECONDS, SECONDS / 3)


def check(machine=LeaseMachine) -> None:
    """Explore the machine with fixed seeds.

    Raises:
      AssertionError: When two contenders held the lease, or a token did not rise.
    """
    claims_model.explore(machine, EXAMPLES, STEPS)
