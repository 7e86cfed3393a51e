"""Exchange of the usage of capped teams between gateways, and the charge of each request."""

import collections
import zlib
from collections.abc import Callable, Mapping

import gevent.event

from bronzemux import clock as clocks
from bronzemux import logs
from bronzemux.gateway import (
    cluster_state,
    failures,
    gossip,
    meters,
    model,
    routers,
    settings,
    usage_caps,
)

# Longest wait of a request for the owner of its team's cap.
MAX_WAIT_SECONDS = 0.15
# Advice to the caller of a request whose owner does not answer.
UNOWNED_RETRY_SECONDS = 0.5
# Routers that may get requests contact each owner this often, to keep the connections open.
CONTACT_SECONDS = 5.0
# A router that has just started does not know yet which routers are alive.
OWNER_DELAY_SECONDS = routers.FAILURE_TIMEOUT_SECONDS
# An owner in touch with fewer of the known routers is likely cut off from the others.
MIN_ALIVE_FRACTION = 0.5


class Waiter:
    """Request that waits for units.

    Attributes:
      units: Its units.
      is_charged: Whether it got them; None when that is unknown.
      decided: Set with the decision.
    """

    def __init__(self, units: int):
        self.units = units
        self.is_charged: bool | None = None
        self.decided = gevent.event.Event()

    def decide(self, is_charged: bool | None) -> None:
        """Tell the request whether it got its units."""
        self.is_charged = is_charged
        self.decided.set()


class UsageGossip:
    """Charges requests to the usage caps of their teams.

    Attributes:
      send: Sends a message to the peer address of a router.
      borrowers: Borrowed units by team.
      owned: Caps that this router keeps, by team.
      waiters: Requests that wait for the owner, by team, the oldest first.
      contacted_at: Monotonic seconds of the last request to a router, by its name.
      serial: Serial number of the last request.

    Args:
      config: Settings of this gateway.
      clock: Source of time.
      state: Configuration in force.
      table: Known routers.
      metrics: Metrics of this gateway.
    """

    def __init__(
        self,
        config: settings.GatewaySettings,
        clock: clocks.Clock,
        state: cluster_state.ClusterState,
        table: routers.RouterTable,
        metrics: meters.GatewayMetrics,
    ):
        self.bounds = config.bounds
        self.clock = clock
        self.cluster_state = state
        self.table = table
        self.meters = metrics
        self.send: Callable[[str, object], None] = lambda address, message: None
        self.borrowers: dict[str, usage_caps.Borrower] = {}
        self.owned: dict[str, usage_caps.OwnedCap] = {}
        self.waiters: dict[str, list[Waiter]] = collections.defaultdict(list)
        self.contacted_at: dict[str, float] = {}
        self.serial = 0
        self.started_at = clock.monotonic()
        self.view: list[gossip.Router] | None = None
        self.candidates: list[gossip.Router] = []

    # Charging

    def charge(self, request: model.Request, team: model.Team) -> int:
        """Charge a request to its team's cap; return the units.

        Raises:
          failures.RefusedError: When the cap is reached, or unknown as its owner does not answer.
        """
        units = team.usage_cap.units(request)
        is_charged = self._try_charge(team.name, units)
        if is_charged is None and not self._is_isolated_owner(team.name):
            is_charged = self._charge_unowned(team, units)
        if not is_charged:
            self.meters.usage.labels("refused").inc(units)
            raise self._refusal(request, team, units, is_charged)
        self.meters.usage.labels("charged").inc(units)
        return units

    def settle(self, team: model.Team, units: int, runs: int) -> None:
        """Adjust the charge of a request that has ended.

        Args:
          team: Its team.
          units: Its units.
          runs: How many endpoints may have executed it; it was charged for one.
        """
        borrower = self._borrower(team.name)
        if not runs:
            borrower.returned += units
            self.meters.usage.labels("returned").inc(units)
        elif runs > 1:
            borrower.spent += units * (runs - 1)
            self.meters.usage.labels("charged").inc(units * (runs - 1))

    def _borrower(self, team: str) -> usage_caps.Borrower:
        if team not in self.borrowers:
            self.borrowers[team] = usage_caps.Borrower(self.clock.monotonic())
        return self.borrowers[team]

    def _try_charge(self, team: str, units: int) -> bool | None:
        """Charge a request to the team's cap; return whether there was room, None if unknown."""
        now = self.clock.monotonic()
        borrower = self._borrower(team)
        borrower.record_demand(units, now)
        if not self.waiters[team] and borrower.try_spend(units, now):
            if borrower.wants_more(now):
                self._ask(team)
            return True
        if now < borrower.silent_until:
            self._ask(team)
            return None
        is_charged = False if now < borrower.refused_until else self._await(team, units)
        return None if not is_charged and self._is_isolated_owner(team) else is_charged

    def _await(self, team: str, units: int) -> bool | None:
        """Ask the owner for the units of a request; return the answer, None without one."""
        started_at = self.clock.monotonic()
        borrower, waiter = self._borrower(team), Waiter(units)
        self.waiters[team].append(waiter)
        try:
            self._ask(team)
            waiter.decided.wait(timeout=MAX_WAIT_SECONDS)
        except BaseException:
            if waiter.is_charged:
                borrower.returned += units
            raise
        finally:
            if waiter in self.waiters[team]:
                self.waiters[team].remove(waiter)
        is_answered = borrower.answered_at is not None and borrower.answered_at >= started_at
        if not waiter.decided.is_set() and not is_answered:
            borrower.record_silence(self.clock.monotonic())
        self.meters.usage_waits.labels("answered" if waiter.decided.is_set() else "silence").inc()
        return waiter.is_charged

    def _charge_unowned(self, team: model.Team, units: int) -> bool | None:
        """Charge a request to this router's own share; return None when that is used up."""
        now = self.clock.monotonic()
        cap = team.usage_cap
        tolerated = usage_caps.tolerated_units(cap, self.bounds)
        shares = (1 + len(self.table.known), self.table.budget_divisor(now))
        borrower = self._borrower(team.name)
        if not borrower.try_spend_unowned(units, cap, tolerated, shares, now):
            return None
        self.meters.usage.labels("unowned").inc(units)
        return True

    def _refusal(
        self, request: model.Request, team: model.Team, units: int, is_charged: bool | None
    ) -> failures.RefusedError:
        now = self.clock.monotonic()
        borrower = self._borrower(team.name)
        owner = self._owner(team.name)
        answered_at = borrower.answered_at
        inputs = {
            "team": team.name,
            "units": units,
            "cap": team.usage_cap.rate,
            "burst": team.usage_cap.burst,
            "owner": owner.name if owner is not None else None,
            "grant_age": None if answered_at is None else now - answered_at,
        }
        if is_charged is None:
            return failures.RefusedError(
                503,
                "the usage of the team is unknown",
                "try another router",
                UNOWNED_RETRY_SECONDS,
                inputs,
            )
        spread = zlib.crc32(request.id.encode()) / 2**32
        return failures.RefusedError(
            429,
            "the usage cap of the team is reached",
            "send again after Retry-After",
            borrower.refuse(units, spread, now),
            inputs,
        )

    # Owners

    def _caps(self) -> Mapping[str, model.UsageCap]:
        config = self.cluster_state.configuration
        return config.usage_caps if config is not None else {}

    def _owner(self, team: str) -> gossip.Router | None:
        view = self.table.alive(self.clock.monotonic())
        if view is not self.view:
            self.view = view
            self.candidates = usage_caps.candidates([*view, self.table.own])
        return usage_caps.owner_of(team, self.candidates)

    def _is_owner(self, team: str) -> bool:
        owner = self._owner(team)
        return owner is not None and owner.name == self.table.own.name

    def _alive_fraction(self) -> float:
        """Return the fraction of the known routers that are alive."""
        alive = self.table.alive(self.clock.monotonic())
        return min(1.0, (1 + len(alive)) / (1 + len(self.table.known)))

    def _is_isolated_owner(self, team: str) -> bool:
        """Return whether this router owns a cap, but is in touch with less than half of all."""
        return self._is_owner(team) and self._alive_fraction() < MIN_ALIVE_FRACTION

    def tick(self, now: float) -> None:
        """Update which caps this router keeps, and return what was not used."""
        caps = self._caps()
        if not caps and not self.borrowers and not self.owned:
            return
        fraction = self._alive_fraction()
        has_started = now - self.started_at >= OWNER_DELAY_SECONDS
        owned = {team for team in caps if has_started and self._is_owner(team)}
        if owned != set(self.owned):
            logs.event("usage_caps_owned", teams=",".join(sorted(owned)), count=len(owned))
        self.owned = {
            team: self.owned.get(team) or usage_caps.OwnedCap(caps[team], now) for team in owned
        }
        for team, cap in self.owned.items():
            cap.refill(caps[team], fraction, now)
        debt = sum(max(0.0, -cap.bucket.level) for cap in self.owned.values())
        self.meters.usage_debt.set(debt)
        self.borrowers = {t: item for t, item in self.borrowers.items() if t in caps}
        for team, borrower in list(self.borrowers.items()):
            borrower.expire(now)
            if borrower.has_report():
                self._ask(team)
        if not self.table.is_reserve(now):
            self._contact_owners(caps, now)

    def _contact_owners(self, caps: Mapping[str, model.UsageCap], now: float) -> None:
        for team in caps:
            owner = self._owner(team)
            if owner is None or owner.name == self.table.own.name:
                continue
            if now - self.contacted_at.get(owner.name, -1e9) >= CONTACT_SECONDS:
                self._borrower(team)
                self._ask(team)

    def _ask(self, team: str) -> None:
        """Send a request for units to the owner unless one is on its way."""
        now = self.clock.monotonic()
        borrower = self._borrower(team)
        owner = self._owner(team)
        if owner is None or not borrower.is_request_due(now):
            return
        self.serial += 1
        waiting = [waiter.units for waiter in self.waiters[team]]
        message = borrower.request(self.table.own, team, self.serial, waiting, now)
        self.contacted_at[owner.name] = now
        if owner.name == self.table.own.name:
            self.apply(self._grant(message))
        else:
            self.send(owner.peer_address, message)

    def answer(self, message: gossip.UsageRequest) -> None:
        """Answer a request of another router."""
        self.send(message.reply_to, self._grant(message))

    def _grant(self, message: gossip.UsageRequest) -> gossip.UsageGrant:
        """Return the answer to a request; a router that does not own the cap grants nothing."""
        team, own, caps = message.team, self.table.own, self._caps()
        owned = self.owned.get(team)
        if owned is not None and team in caps and self._is_owner(team):
            owned.refill(caps[team], self._alive_fraction(), self.clock.monotonic())
            return owned.answer(message, own)
        # A configuration without the cap is older or newer than that of the sender.
        is_uncapped = self.cluster_state.configuration is not None and team not in caps
        units = message.needed if is_uncapped else 0
        return gossip.UsageGrant(own.name, team, message.serial, units, 0, is_uncapped)

    def apply(self, message: gossip.UsageGrant) -> None:
        """Apply the answer of an owner, and decide on the requests that wait for it."""
        now = self.clock.monotonic()
        team = message.team
        borrower = self.borrowers.get(team)
        if borrower is None or not borrower.apply(message, now):
            return
        undecided = []
        for waiter in self.waiters[team]:
            if not message.is_owner:
                waiter.decide(None)
            elif borrower.try_spend(waiter.units, now):
                waiter.decide(True)
            elif message.wait_ms:
                waiter.decide(False)
            else:
                undecided.append(waiter)
        self.waiters[team] = undecided
        if undecided:
            self._ask(team)
