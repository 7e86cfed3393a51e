"""Division of teams' limits among routers, in proportion to demand.

Each team has an owner, a router chosen by rendezvous hashing among the live members. Routers
report their demand to the owner, which grants each of them a share of the limit for
`GRANT_SECONDS`. A router without a valid grant uses an equal share.
"""

import dataclasses
import hashlib

from bronzemux import wire

GRANT_SECONDS = 3.0
REPORT_INTERVAL_SECONDS = 1.0
MIN_REPORTED_REQUESTS_PER_SECOND = 0.5
EQUALLY_SHARED_FRACTION = 0.2
MAX_TEAMS = 2_000


@dataclasses.dataclass
class Report:
    """Demand of one router for one team.

    Attributes:
      rate: Requests per second.
      received_at: Monotonic seconds at which it was received.
    """

    rate: float
    received_at: float


class ShareAllocator:
    """Divides the limits of the teams whose owner is this router; owned by one task."""

    def __init__(self):
        self.reports: dict[str, dict[str, Report]] = {}
        self.owned_since: dict[str, float] = {}

    def allocate(self, demand: wire.Demand, routers: int, now: float) -> wire.Grant:
        """Record the demand of a router and return its grant.

        `EQUALLY_SHARED_FRACTION` of the limit is divided equally among the routers, and the rest
        in proportion to their demand. An owner that has known a team for less than
        `GRANT_SECONDS` may lack reports of some routers, and therefore grants equal shares.

        At any time a router uses either an equal share or its share of a division that sums to
        the limit. The sum over all routers therefore stays below
        ``2 - EQUALLY_SHARED_FRACTION`` times the limit, and is back at the limit after each router
        has reported once.

        Args:
          demand: Demand of the router; teams beyond the first `MAX_TEAMS` are ignored.
          routers: Number of live routers.
          now: Monotonic seconds.
        """
        shares = []
        for team, rate in demand.teams[:MAX_TEAMS]:
            reports = self.reports.setdefault(team, {})
            self._drop_expired(reports, now)
            if not reports:
                self.owned_since[team] = now
            reports[demand.sender.name] = Report(rate, now)
            total = sum(report.rate for report in reports.values())
            is_new_owner = now - self.owned_since[team] < GRANT_SECONDS
            fraction = 1 / routers if is_new_owner or not total else rate / total
            shares.append(
                (team, EQUALLY_SHARED_FRACTION / routers + (1 - EQUALLY_SHARED_FRACTION) * fraction)
            )
        return wire.Grant(tuple(shares), GRANT_SECONDS)

    def _drop_expired(self, reports: dict[str, Report], now: float) -> None:
        for name in [
            n for n, report in reports.items() if now - report.received_at > GRANT_SECONDS
        ]:
            del reports[name]


class GrantedShares:
    """Grants that this router received; owned by one task."""

    def __init__(self):
        self.grants: dict[str, tuple[float, float]] = {}

    def store(self, grant: wire.Grant, now: float) -> None:
        """Store a grant until it expires.

        Args:
          grant: The grant.
          now: Monotonic seconds at which it was received.
        """
        for team, share in grant.shares:
            self.grants[team] = (share, now + grant.seconds)

    def valid_shares(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return the teams and shares of the grants that have not expired.

        Args:
          now: Monotonic seconds.
        """
        self.grants = {t: g for t, g in self.grants.items() if g[1] > now}
        return tuple((team, share) for team, (share, _) in self.grants.items())


def owner(team: str, members: list[wire.Member]) -> wire.Member:
    """Return the router that divides a team's limits.

    Args:
      team: Name of the team.
      members: Live members; at least one.
    """

    def score(member: wire.Member) -> bytes:
        return hashlib.blake2b(f"{team}|{member.name}".encode(), digest_size=8).digest()

    return max(members, key=score)


def group_by_owner(rates: dict[str, float], members: list[wire.Member]) -> dict[str, list]:
    """Return the teams and rates to report, by address of the owner of each team.

    Rates below `MIN_REPORTED_REQUESTS_PER_SECOND` are left out.

    Args:
      rates: Requests per second by team.
      members: Live members; at least one.
    """
    groups: dict[str, list] = {}
    for team, rate in rates.items():
        if rate >= MIN_REPORTED_REQUESTS_PER_SECOND:
            groups.setdefault(owner(team, members).address, []).append((team, rate))
    return groups
