"""Models of routers that charge one capped team, with messages that are late, lost or doubled."""

import heapq
import itertools

from hypothesis import stateful
from hypothesis import strategies as st

from bronzemux import buckets
from bronzemux.gateway import gossip, model, settings, usage_caps, usage_gossip

BOUNDS = settings.Bounds(usage_overage=0.1, usage_slack=110_000)
WINDOW_SECONDS = BOUNDS.usage_window_seconds
STEP_SECONDS = 0.01
REPORT_SECONDS = 0.25
LINK_SECONDS = 0.02
TEAM = "clerks"


def most_in_window(used: list[tuple[float, int]]) -> int:
    """Return the most units used in any window; the times rise."""
    most = total = start = 0
    for at, units in used:
        total += units
        while used[start][0] <= at - WINDOW_SECONDS:
            total -= used[start][1]
            start += 1
        most = max(most, total)
    return most


class BucketPerRouter:
    """Routers that grant a fraction of the cap each, without messages.

    Attributes:
      now: Seconds.
      used: Time and units of each admitted request.
      refused: Units of refused requests.

    Args:
      cap: The cap.
      names: Names of the routers.
      fraction: Fraction of the cap that each router grants.
    """

    def __init__(self, cap: model.UsageCap, names: list[str], fraction: float = 1.0):
        self.now = 0.0
        self.rate, self.burst = cap.rate * fraction, cap.burst * fraction
        self.buckets = {n: buckets.Bucket(self.rate, self.burst, self.burst, 0.0) for n in names}
        self.used: list[tuple[float, int]] = []
        self.refused = 0

    def offer(self, name: str, units: int) -> None:
        """Let a request arrive at a router."""
        bucket = self.buckets[name]
        bucket.refill(self.rate, self.burst, self.now)
        if bucket.wait_seconds(units) > 0:
            self.refused += units
            return
        bucket.level -= units
        self.used.append((self.now, units))

    def advance(self) -> None:
        """Let one step pass."""
        self.now += STEP_SECONDS


class BorrowingRouters:
    """Routers that borrow from an owner.

    Attributes:
      now: Seconds.
      cap: The cap in force.
      owners: Caps by name of their owner.
      owner_of: Name of the owner that each router asks.
      used: Time and units of each request admitted by a grant.
      unowned: The same for requests admitted without an owner, by router.
      refused: Units of refused requests.
      advices: Time at which each refused request may come again.
      delays: Delay of each copy of the next message; it is lost without any.
      fractions: Fraction of the routers that an owner considers alive, 1 unless given.
      bytes: Bytes of all messages.

    Args:
      cap: The cap.
      names: Names of the routers.
    """

    def __init__(self, cap: model.UsageCap, names: list[str]):
        self.now = 0.0
        self.cap = cap
        self.owners = {"o": usage_caps.OwnedCap(cap, 0.0)}
        self.owner_of = dict.fromkeys(names, "o")
        self.routers = {n: gossip.Router(n, 1, f"{n}:1", "", "a", True) for n in (*names, "o", "p")}
        self.borrowers = {name: usage_caps.Borrower(0.0) for name in names}
        self.waiting: dict[str, list[tuple[int, float]]] = {name: [] for name in names}
        self.used: list[tuple[float, int]] = []
        self.unowned: dict[str, list[tuple[float, int]]] = {name: [] for name in names}
        self.refused = 0
        self.advices: list[float] = []
        self.delays = (LINK_SECONDS,)
        self.bytes = 0
        self.fractions: dict[str, float] = {}
        self.serials = itertools.count()
        self.transit: list = []
        self.next_report_at = 0.0

    def offer(self, name: str, units: int) -> None:
        """Let a request arrive at a router."""
        borrower = self.borrowers[name]
        borrower.record_demand(units, self.now)
        if not self.waiting[name] and borrower.try_spend(units, self.now):
            self.used.append((self.now, units))
            if borrower.wants_more(self.now):
                self._ask(name)
        elif self.now < borrower.silent_until:
            self._ask(name)
            self._spend_unowned(name, units)
        elif self.now < borrower.refused_until:
            self._refuse(name, units)
        else:
            self.waiting[name].append((units, self.now))
            self._ask(name)

    def _refuse(self, name: str, units: int) -> None:
        self.refused += units
        spread = len(self.advices) % 7 / 7
        self.advices.append(self.now + self.borrowers[name].refuse(units, spread, self.now))

    def _spend_unowned(self, name: str, units: int) -> None:
        tolerated = usage_caps.tolerated_units(self.cap, BOUNDS)
        shares = (len(self.borrowers), len(self.borrowers))
        if self.borrowers[name].try_spend_unowned(units, self.cap, tolerated, shares, self.now):
            self.unowned[name].append((self.now, units))
        else:
            self.refused += units

    def _ask(self, name: str) -> None:
        borrower = self.borrowers[name]
        if borrower.is_request_due(self.now):
            waiting = [units for units, _ in self.waiting[name]]
            router, serial = self.routers[name], next(self.serials)
            request = borrower.request(router, TEAM, serial, waiting, self.now)
            self._send(self.owner_of[name], request)

    def _send(self, target: str, message) -> None:
        encoded = gossip.encode(message)
        for delay in self.delays:
            self.bytes += len(encoded)
            entry = (self.now + delay, next(self.serials), target, gossip.decode(encoded))
            heapq.heappush(self.transit, entry)

    def _deliver(self, target: str, message) -> None:
        if isinstance(message, gossip.UsageRequest):
            if target in self.owners:
                owned = self.owners[target]
                owned.refill(self.cap, self.fractions.get(target, 1.0), self.now)
                self._send(message.sender, owned.answer(message, self.routers[target]))
            return
        borrower, waiting = self.borrowers[target], self.waiting[target]
        if not borrower.apply(message, self.now):
            return
        self.waiting[target] = []
        for units, since in waiting:
            if borrower.try_spend(units, self.now):
                self.used.append((self.now, units))
            elif message.wait_ms:
                self._refuse(target, units)
            else:
                self.waiting[target].append((units, since))
        if self.waiting[target]:
            self._ask(target)

    def advance(self) -> None:
        """Let one step pass."""
        self.now += STEP_SECONDS
        while self.transit and self.transit[0][0] <= self.now:
            _, _, target, message = heapq.heappop(self.transit)
            self._deliver(target, message)
        for name, waiting in self.waiting.items():
            while waiting and self.now - waiting[0][1] > usage_gossip.MAX_WAIT_SECONDS:
                self.borrowers[name].record_silence(self.now)
                self._spend_unowned(name, waiting.pop(0)[0])
        if self.now >= self.next_report_at:
            self.next_report_at = self.now + REPORT_SECONDS
            for name, owned in self.owners.items():
                owned.refill(self.cap, self.fractions.get(name, 1.0), self.now)
            for name, borrower in self.borrowers.items():
                borrower.expire(self.now)
                if borrower.has_report():
                    self._ask(name)

    def restart(self, name: str) -> None:
        """Restart a router; it keeps nothing."""
        self.borrowers[name] = usage_caps.Borrower(self.now)
        self.waiting[name] = []


# Most seconds, besides twice the life of a grant, until unused units are back at the owner.
RETURN_SECONDS = REPORT_SECONDS + usage_caps.REPEAT_SECONDS + 0.3
MODEL_CAP = model.UsageCap(2_000.0, 20_000.0)
LARGEST_REQUEST = 3_000


class UsageMachine(stateful.RuleBasedStateMachine):
    """Routers whose messages are lost, late or doubled, and whose owner changes."""

    is_bucket_per_router = False
    first_level = 0.0

    def __init__(self):
        super().__init__()
        names = ["r0", "r1", "r2", "r3"]
        self.model = (
            BucketPerRouter(MODEL_CAP, names)
            if self.is_bucket_per_router
            else BorrowingRouters(MODEL_CAP, names)
        )
        self.overlaps: list[tuple[float, int]] = []

    @stateful.rule(
        requests=st.lists(
            st.tuples(st.integers(0, 3), st.integers(1, LARGEST_REQUEST)), min_size=10, max_size=80
        ),
        steps=st.integers(1, 150),
    )
    def run(self, requests, steps):
        """Let requests arrive and time pass."""
        for number, units in requests:
            self.model.offer(f"r{number}", units)
        for _ in range(steps):
            self.model.advance()
            if len(getattr(self.model, "owners", ())) > 1:
                self.overlaps.append((self.model.now, 1))

    @stateful.rule(delays=st.lists(st.sampled_from((0.01, 0.05, 0.3)), max_size=2))
    def change_links(self, delays):
        """Lose, delay or double the next messages."""
        self.model.delays = tuple(delays)

    @stateful.rule(number=st.integers(0, 3), owner=st.sampled_from("op"), keeps=st.booleans())
    def change_view(self, number, owner, keeps):
        """Let a router ask another owner, while the old one stays or ends."""
        if self.is_bucket_per_router:
            return
        self.model.owner_of[f"r{number}"] = owner
        if not keeps:
            self.model.owners = {k: v for k, v in self.model.owners.items() if k == owner}
        if owner not in self.model.owners:
            self.model.owners[owner] = self._begin()

    def _begin(self) -> usage_caps.OwnedCap:
        owned = usage_caps.OwnedCap(MODEL_CAP, self.model.now)
        owned.bucket.level = self.first_level
        return owned

    @stateful.rule()
    def restart_all(self):
        """Restart all routers and owners."""
        if not self.is_bucket_per_router:
            self.model.owners = {"o": self._begin()}
            for name in self.model.borrowers:
                self.model.restart(name)

    @stateful.invariant()
    def check_bounds(self):
        """Check the bound of what owners grant, and of what each router spends without one."""
        late_seconds = 2 * usage_caps.GRANT_SECONDS + RETURN_SECONDS
        seconds = WINDOW_SECONDS + late_seconds
        if self.overlaps:
            seconds += most_in_window(self.overlaps) * STEP_SECONDS + late_seconds
        allowed = MODEL_CAP.burst + MODEL_CAP.rate * seconds
        used = most_in_window(self.model.used)
        assert used <= allowed, f"{used} of {allowed} units"
        for used in getattr(self.model, "unowned", {}).values():
            share = usage_caps.tolerated_units(MODEL_CAP, BOUNDS) * usage_caps.UNOWNED_FRACTION / 4
            rate = MODEL_CAP.rate / 4
            assert most_in_window(used) <= share + rate * WINDOW_SECONDS


class BucketPerRouterMachine(UsageMachine):
    """The same checks with a bucket of the whole cap at each router."""

    is_bucket_per_router = True


class FullStartMachine(UsageMachine):
    """The same checks with owners that begin with a full bucket."""

    first_level = MODEL_CAP.burst
