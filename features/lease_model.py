"""State machine test of a lease whose contenders are paused, restarted and lose responses."""

from hypothesis import stateful
from hypothesis import strategies as st

from bronzemux import clock, errors, lease
from features import claims_model

CONTENDERS = 3
LEASE_SECONDS = 9.0
MARGIN_SECONDS = 2.0
WRITE_OUTCOMES = st.sampled_from(("ok",) * 6 + ("response lost", "delayed", "down"))
RUN_ORDERS = st.permutations(range(CONTENDERS)).flatmap(
    lambda order: st.integers(0, CONTENDERS).map(lambda count: tuple(order[:count]))
)
ELAPSED_SECONDS = st.sampled_from((0.5, 1.0, 2.0, 4.0, 9.5))
EXAMPLES = 300
STEPS = 50


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Contenders whose clocks run at the same rate from different start times."""

    lease_seconds = (LEASE_SECONDS,) * CONTENDERS

    def __init__(self):
        super().__init__()
        self.service = claims_model.ScriptedTable()
        self.clocks = [clock.FakeClock() for _ in range(CONTENDERS)]
        self.process_count = 0
        self.leases = [self._lease(number) for number in range(CONTENDERS)]
        for number, item in enumerate(self.clocks):
            item.advance(1000.0 * number)
        self.last_holder: tuple[str, int] = ("", 0)
        self.copies = [self.service.copy()]

    def _lease(self, number: int) -> lease.Lease:
        self.process_count += 1
        settings = lease.LeaseSettings(self.lease_seconds[number], MARGIN_SECONDS)
        holder = f"c{number}@{self.process_count}"
        service = claims_model.TableClient(self.service)
        return lease.Lease("x", holder, settings, service, self.clocks[number])

    @stateful.rule(running=RUN_ORDERS, write_outcome=WRITE_OUTCOMES, seconds=ELAPSED_SECONDS)
    def run(self, running, write_outcome, seconds):
        """Let time pass and some contenders run in turn, while the others are paused."""
        for item in self.clocks:
            item.advance(seconds)
        self.service.next_outcome = write_outcome
        for number in running:
            self._acquire_or_renew(self.leases[number])
            self.check_at_most_one_holder()

    def _acquire_or_renew(self, contender: lease.Lease) -> None:
        try:
            is_held = contender.acquire_or_renew()
        except errors.PlatformError:
            return
        if is_held:
            self._check_token(contender)

    def _check_token(self, contender: lease.Lease) -> None:
        holder, token = self.last_holder
        if holder != contender.holder:
            assert contender.token > token, (self.last_holder, contender.holder, contender.token)
        self.last_holder = (contender.holder, contender.token)

    @stateful.rule(
        number=st.integers(0, CONTENDERS - 1),
        write_outcome=WRITE_OUTCOMES,
        chance=st.integers(0, 4),
    )
    def release(self, number, write_outcome, chance):
        """Let a contender release the lease, for one in five drawn values of `chance`."""
        if chance:
            return
        self.service.next_outcome = write_outcome
        try:
            self.leases[number].release()
        except errors.PlatformError:
            return

    @stateful.rule(number=st.integers(0, CONTENDERS - 1), chance=st.integers(0, 4))
    def restart(self, number, chance):
        """Replace a contender by a new process, for one in five drawn values of `chance`."""
        if not chance:
            self.leases[number] = self._lease(number)

    @stateful.rule()
    def apply_delayed(self):
        """Let the oldest delayed write take effect."""
        self.service.apply_delayed()

    @stateful.rule()
    def copy(self):
        """Copy the table."""
        self.copies = [*self.copies[-2:], self.service.copy()]

    @stateful.rule(age=st.integers(1, 3), chance=st.integers(0, 2))
    def restore(self, age, chance):
        """Restore the table from one of the last copies, for one in three values of `chance`."""
        if not chance:
            self.service.restore(self.copies[-min(age, len(self.copies))])

    @stateful.invariant()
    def check_at_most_one_holder(self):
        """Check that at most one contender holds the lease."""
        holders = [item.holder for item in self.leases if item.is_held()]
        assert len(holders) <= 1, holders


class EarlyTakeoverMachine(LeaseMachine):
    """Faulty machine, whose last contender takes over after a third of the lease duration."""

    lease_seconds = (LEASE_SECONDS, LEASE_SECONDS, LEASE_SECONDS / 3)


def check(machine=LeaseMachine) -> None:
    """Explore a machine with fixed seeds.

    Raises:
      AssertionError: When two contenders held the lease at once, or a new holder's fencing token
        was not higher than the last one.
    """
    claims_model.explore(machine, EXAMPLES, STEPS)
