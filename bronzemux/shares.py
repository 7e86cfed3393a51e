"""Division of teams' limits among routers that follow demand.

Each team has a home router, chosen by rendezvous hashing among the live members of one data
centre after the other. Routers tell it their demand; it grants each a part for a while. A router
without a valid grant uses an equal part.
"""

import dataclasses
import hashlib

from bronzemux import wire

GRANT_SECONDS = 3.0
REPORT_SECONDS = 1.0
MIN_DEMAND = 0.5
RESERVE = 0.2
MAX_TEAMS = 2_000


@dataclasses.dataclass
class Report:
    """Demand of one router for one team.

    Attributes:
      rate: Requests a second.
      at: Monotonic seconds.
    """

    rate: float
    at: float


class ShareAllocator:
    """Grants of the teams whose home this router is; owned by one task."""

    def __init__(self):
        self.reports: dict[str, dict[str, Report]] = {}
        self.since: dict[str, float] = {}

    def allocate(self, demand: wire.Demand, routers: int, now: float) -> wire.Grant:
        """Take the demand of a router in and return its grant.

        The part of a router is an equal portion of the reserve, and of the rest a portion in
        proportion to its demand. A home that has known a team for less than `GRANT_SECONDS` may
        not have heard of all demand and grants equal parts. As at every moment each router uses
        an equal part, or one of a division that sums to the limit, the sum over all routers stays
        below ``2 - RESERVE`` times the limit, and returns to the limit within one report.

        Args:
          demand: The demand.
          routers: Number of routers.
          now: Monotonic seconds.
        """
        shares = []
        for team, rate in demand.teams[:MAX_TEAMS]:
            reports = self.reports.setdefault(team, {})
            self._forget(reports, now)
            if not reports:
                self.since[team] = now
            reports[demand.sender.name] = Report(rate, now)
            total = sum(report.rate for report in reports.values())
            is_young = now - self.since[team] < GRANT_SECONDS
            portion = 1 / routers if is_young or not total else rate / total
            shares.append((team, RESERVE / routers + (1 - RESERVE) * portion))
        return wire.Grant(tuple(shares), GRANT_SECONDS)

    def _forget(self, reports: dict[str, Report], now: float) -> None:
        for name in [n for n, report in reports.items() if now - report.at > GRANT_SECONDS]:
            del reports[name]


class ShareHolder:
    """Grants that this router holds; owned by one task."""

    def __init__(self):
        self.grants: dict[str, tuple[float, float]] = {}

    def take(self, grant: wire.Grant, now: float) -> None:
        """Take a grant in.

        Args:
          grant: The grant.
          now: Monotonic seconds.
        """
        for team, share in grant.shares:
            self.grants[team] = (share, now + grant.seconds)

    def valid(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return the parts that hold now, by team."""
        self.grants = {t: g for t, g in self.grants.items() if g[1] > now}
        return tuple((team, share) for team, (share, _) in self.grants.items())


def home(team: str, members: list[wire.Member]) -> wire.Member:
    """Return the router that divides a team's limits.

    Args:
      team: Name of the team.
      members: Live members; at least one.
    """

    def score(member: wire.Member) -> bytes:
        return hashlib.blake2b(f"{team}|{member.name}".encode(), digest_size=8).digest()

    return max(members, key=score)


def group_by_home(rates: dict[str, float], members: list[wire.Member]) -> dict[str, list]:
    """Return for each home's address the teams with a demand that is worth reporting.

    Args:
      rates: Requests a second by team.
      members: Live members; at least one.
    """
    groups: dict[str, list] = {}
    for team, rate in rates.items():
        if rate >= MIN_DEMAND:
            groups.setdefault(home(team, members).address, []).append((team, rate))
    return groups
