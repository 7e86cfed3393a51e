"""Decisions on the usage caps of teams, which hold for all routers together.

Each capped team has an owner, one of the relays, that keeps the token bucket of the team. Every
router borrows units from it for a short time and returns what it has not used. A router that gets
no answer spends from a small bucket of its own, and the owner deducts that later.

This module does no I/O.
"""

import collections
import hashlib
from collections.abc import Iterable

from bronzemux import buckets, records
from bronzemux.gateway import gossip, model, router_ranking, routers, settings

# A grant is valid for this long after it was requested. Units of grants that were not used are
# what a team may exceed its cap by within one window.
GRANT_SECONDS = 0.5
# Routers borrow what they expect to need within this time.
AHEAD_SECONDS = 0.25
# Fraction of the free units that one router may borrow beyond the requests that wait.
MAX_AHEAD_FRACTION = 1 / 8
# A request for units without an answer is repeated after this long.
REPEAT_SECONDS = 0.1
# After a refusal by the owner, a router refuses requests itself for at most this long.
REFUSAL_SECONDS = 0.1
# An owner that has left a request unanswered is not awaited for this long.
SILENCE_SECONDS = 0.5
# Longest advice to a caller on when to send a request again.
MAX_RETRY_AFTER_SECONDS = 10.0
# Time over which the demand of a team is averaged.
DEMAND_SECONDS = 1.0
# Requests of all sizes are granted from the same level on, so that small ones do not starve large
# ones: the size of the largest one of this time, but at most this fraction of the bucket.
LARGEST_SECONDS = 10.0
MAX_RESERVED_FRACTION = 1 / 4
# After a pause of an owner for longer than this, others may consider it dead and own its caps.
MAX_PAUSE_SECONDS = routers.FAILURE_TIMEOUT_SECONDS
# Fraction of what the deployment tolerates beyond the caps that routers without an owner spend.
UNOWNED_FRACTION = 0.5


def candidates(alive: Iterable[gossip.Router]) -> list[gossip.Router]:
    """Return the routers that may own caps: the strongest of each data centre.

    Args:
      alive: Routers that are alive; those that accept no callers are left out.
    """
    return router_ranking.store_order([router for router in alive if router.is_ready])


def owner_of(team: str, candidates: Iterable[gossip.Router]) -> gossip.Router | None:
    """Return the owner of a team's cap, None without candidates.

    Args:
      team: Name of the team.
      candidates: Routers that may own caps.
    """

    def score(router: gossip.Router) -> tuple[bytes, str]:
        text = f"{team}\0{router.name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest(), router.name

    return max(candidates, key=score, default=None)


def tolerated_units(cap: model.UsageCap, bounds: settings.Bounds) -> float:
    """Return the units that the deployment tolerates beyond a cap in one window."""
    allowed = cap.rate * bounds.usage_window_seconds + cap.burst
    return bounds.usage_overage * allowed + bounds.usage_slack


class OwnedCap:
    """Bucket of one team at its owner.

    It begins empty, as a predecessor may have granted the whole burst just before.

    Attributes:
      bucket: The units that may be granted.
      serials: Serial number of the last request of each router, by its name and start.
      largest: Largest request of the current `LARGEST_SECONDS` and of those before.
      promised: Units of refused requests that are expected to come again.

    Args:
      cap: The cap.
      now: Monotonic seconds.
    """

    def __init__(self, cap: model.UsageCap, now: float):
        self.bucket = buckets.Bucket(cap.rate, cap.burst, 0.0, now)
        self.serials: dict[tuple[str, int], int] = {}
        self.largest = (0, 0)
        self.largest_since = now
        self.promised = 0.0

    def refill(self, cap: model.UsageCap, fraction: float, now: float) -> None:
        """Add the units of the time that has passed.

        After a pause the bucket is empty, like that of a new owner.

        Args:
          cap: The cap in force.
          fraction: Fraction of the known routers that this one considers alive. The other sides of
            a partition grant the rest.
          now: Monotonic seconds.
        """
        elapsed = now - self.bucket.updated_at
        self.promised = max(0.0, self.promised - elapsed * self.bucket.rate)
        if elapsed > MAX_PAUSE_SECONDS:
            self.bucket.level = min(0.0, self.bucket.level)
            self.bucket.updated_at = now
        self.bucket.refill(cap.rate * fraction, cap.burst * fraction, now)
        if now - self.largest_since > LARGEST_SECONDS:
            self.largest = (0, self.largest[0])
            self.largest_since = now

    def answer(self, request: gossip.UsageRequest, owner: gossip.Router) -> gossip.UsageGrant:
        """Return the units granted to a router; call `refill` before.

        A repeated or reordered request is granted nothing and changes nothing.

        Args:
          request: The router's request.
          owner: This router.
        """
        key = (request.sender, request.boot)
        if request.serial <= self.serials.get(key, -1):
            return gossip.UsageGrant(owner.name, request.team, request.serial, 0, 0)
        self.serials = {k: v for k, v in self.serials.items() if k[0] != request.sender}
        self.serials[key] = request.serial
        bucket = self.bucket
        bucket.level = min(bucket.capacity, bucket.level + request.returned) - request.spent
        self.largest = (max(self.largest[0], request.largest), self.largest[1])
        granted = self._granted(request)
        bucket.level -= granted
        missing = max(0, request.needed - granted)
        self.promised += request.refused
        wait = 0.0
        if missing:
            wait = bucket.wait_seconds(self._threshold(request.largest))
            wait += self.promised / bucket.rate
            self.promised += missing
        self.promised = min(self.promised, bucket.rate * MAX_RETRY_AFTER_SECONDS)
        wait_ms = int(1000 * min(wait, MAX_RETRY_AFTER_SECONDS)) + 1 if missing else 0
        return gossip.UsageGrant(owner.name, request.team, request.serial, granted, wait_ms)

    def _threshold(self, largest: int) -> float:
        """Return the level from which on a request is granted."""
        capacity = self.bucket.capacity
        reserved = min(max(self.largest), capacity * MAX_RESERVED_FRACTION)
        return min(capacity, max(largest, reserved))

    def _granted(self, request: gossip.UsageRequest) -> int:
        level = self.bucket.level
        threshold = self._threshold(request.largest)
        if level < threshold:
            return 0
        # A request larger than the bucket makes the level negative.
        granted = min(request.needed, max(int(level), request.largest))
        free = max(0.0, level - granted - threshold)
        return granted + int(min(request.ahead, free * MAX_AHEAD_FRACTION))


@records.state
class Borrowed:
    """Units of one grant that are left.

    Attributes:
      units: The units.
      expires_at: Monotonic seconds until which they may be spent.
    """

    units: int
    expires_at: float


class Borrower:
    """Units of one team at a router that borrows them.

    Attributes:
      borrowed: Grants, the oldest first.
      sent_at: Monotonic seconds of the requests to the owner without an answer, by serial number.
      demand: Units per second that callers have lately asked for.
      returned: Units to return with the next request to the owner.
      spent: Units spent without a grant that the next request reports.
      refused: Units of refused requests that the next request reports.
      refused_until: Monotonic seconds until which requests are refused without asking the owner.
      room_at: Monotonic seconds from which on the owner expects to have units.
      silent_until: Monotonic seconds until which the owner is not awaited.
      answered_at: Monotonic seconds of the last answer of the owner, None before the first.
      unowned: Units for the time without an owner, which fill from the start on; None until they
        are first used.

    Args:
      now: Monotonic seconds.
    """

    def __init__(self, now: float):
        self.borrowed: collections.deque[Borrowed] = collections.deque()
        self.sent_at: dict[int, float] = {}
        self.started_at = now
        self.demand = 0.0
        self.demand_at = now
        self.returned = 0
        self.spent = 0
        self.refused = 0
        self.refused_until = -1e9
        self.room_at = -1e9
        self.silent_until = -1e9
        self.answered_at: float | None = None
        self.unowned: buckets.Bucket | None = None

    def record_demand(self, units: int, now: float) -> None:
        """Count the units of a request that arrived."""
        elapsed = now - self.demand_at
        self.demand *= max(0.0, 1 - elapsed / DEMAND_SECONDS)
        self.demand += units / DEMAND_SECONDS
        self.demand_at = now

    def expire(self, now: float) -> None:
        """Set aside the units of expired grants, to return them."""
        while self.borrowed and self.borrowed[0].expires_at <= now:
            self.returned += self.borrowed.popleft().units

    def balance(self, now: float) -> int:
        """Return the units that may be spent."""
        self.expire(now)
        return sum(item.units for item in self.borrowed)

    def try_spend(self, units: int, now: float) -> bool:
        """Spend units if that many are left; return whether they were."""
        if self.balance(now) < units:
            return False
        while units:
            taken = min(units, self.borrowed[0].units)
            self.borrowed[0].units -= taken
            units -= taken
            if not self.borrowed[0].units:
                self.borrowed.popleft()
        return True

    def try_spend_unowned(
        self,
        units: int,
        cap: model.UsageCap,
        tolerated: float,
        shares: tuple[int, int],
        now: float,
    ) -> bool:
        """Spend units while no owner answers; return whether that is allowed.

        Args:
          units: Units of a request.
          cap: The cap.
          tolerated: Units tolerated beyond it in one window, by all routers.
          shares: Number of known routers, among which the rate is divided, and the number by which
            a budget of all routers is divided.
          now: Monotonic seconds.
        """
        rate = cap.rate / max(1, shares[0])
        capacity = UNOWNED_FRACTION * tolerated / max(1, shares[1])
        if self.unowned is None:
            self.unowned = buckets.Bucket(rate, capacity, 0.0, self.started_at)
        self.unowned.refill(rate, capacity, now)
        # A request larger than the bucket is not granted: all routers may do this at once.
        if self.unowned.level < units:
            return False
        self.unowned.level -= units
        self.spent += units
        return True

    def is_request_due(self, now: float) -> bool:
        """Return whether no request is on its way to the owner."""
        return all(now - at >= REPEAT_SECONDS for at in self.sent_at.values())

    def wants_more(self, now: float) -> bool:
        """Return whether the router should borrow units before a request needs them."""
        ahead = self.demand * AHEAD_SECONDS
        return self.balance(now) < ahead / 2 and now >= self.refused_until

    def request(
        self, router: gossip.Router, team: str, serial: int, waiting: list[int], now: float
    ) -> gossip.UsageRequest:
        """Return the request to send to the owner now.

        Args:
          router: This router.
          team: Name of the team.
          serial: Serial number, higher than that of any earlier request of this router.
          waiting: Units of each request that waits for the answer.
          now: Monotonic seconds.
        """
        balance = self.balance(now)
        self.sent_at = {k: at for k, at in self.sent_at.items() if now - at < GRANT_SECONDS}
        self.sent_at[serial] = now
        self.record_demand(0, now)
        needed = max(0, sum(waiting) - balance) if waiting else 0
        request = gossip.UsageRequest(
            sender=router.name,
            boot=router.boot,
            reply_to=router.peer_address,
            team=team,
            serial=serial,
            needed=needed,
            largest=max(waiting, default=0),
            ahead=max(0, int(self.demand * AHEAD_SECONDS) - max(0, balance - sum(waiting))),
            returned=self.returned,
            spent=self.spent,
            refused=self.refused,
        )
        self.returned = self.spent = self.refused = 0
        return request

    def apply(self, grant: gossip.UsageGrant, now: float) -> bool:
        """Apply an answer of the owner; return whether it answers a request that is still open."""
        sent_at = self.sent_at.pop(grant.serial, None)
        if sent_at is None or now - sent_at >= GRANT_SECONDS:
            return False
        self.answered_at = now
        self.silent_until = -1e9
        if grant.units:
            self.borrowed.append(Borrowed(grant.units, sent_at + GRANT_SECONDS))
        if grant.wait_ms and grant.is_owner:
            wait = grant.wait_ms / 1000
            self.refused_until = now + min(wait, REFUSAL_SECONDS)
            self.room_at = now + wait
        return True

    def has_report(self) -> bool:
        """Return whether there is something to return to the owner, or to report to it."""
        return bool(self.returned or self.spent or self.refused)

    def record_silence(self, now: float) -> None:
        """Record that the owner did not answer in time."""
        self.silent_until = now + SILENCE_SECONDS

    def refuse(self, units: int, spread: float, now: float) -> float:
        """Count a refused request; return the seconds after which it may be sent again.

        Args:
          units: Units of the request.
          spread: From 0 to 1; spreads the requests that are sent again.
          now: Monotonic seconds.
        """
        self.refused += units
        seconds = max(0.0, self.room_at - now) * (1 + spread)
        return min(MAX_RETRY_AFTER_SECONDS, max(REFUSAL_SECONDS * (1 + spread), seconds))
