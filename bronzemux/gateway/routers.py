"""Membership of the routers, the topology of their gossip, and the routers advertised to callers.

This module does no I/O. A small number of routers form a full mesh. Beyond `MAX_MESH_ROUTERS`, the
two routers of each data centre with the most CPU capacity are relays: they exchange messages with
all routers of their data centre and with the relays of the others, while the remaining routers
exchange messages with their relays only.

A router considers another one alive while it receives messages from it or has a current roster that
lists it. The rosters that relays exchange list only routers whose messages the sender receives
directly. Only relays send rosters of all routers that they consider alive, and only to the routers
that they relay to; a roster that any other router gets as a hint does not count. Thus no two
routers can keep a dead one alive by listing it to each other.
"""

import dataclasses
import enum
import hashlib
import operator
import zlib
from collections.abc import Iterable

from bronzemux import records
from bronzemux.gateway import gossip, router_ranking

STATUS_SECONDS = router_ranking.USUAL_COORDINATION.status_seconds
# Interval of the status messages between relays and reserve routers that have no requests: with
# the two relays of a data centre, a reserve router still receives four messages per second.
RESERVE_STATUS_SECONDS = 0.5
# A router is considered dead after this many status messages in a row are missing.
MAX_MISSED_STATUSES = 5
FAILURE_TIMEOUT_SECONDS = STATUS_SECONDS * MAX_MISSED_STATUSES
# Additional time for which the roster of a silent relay remains valid: the time in which its data
# centre chooses another relay.
ROSTER_LINGER_SECONDS = FAILURE_TIMEOUT_SECONDS
# Routers that were not alive for this long are forgotten and no longer connected to.
FORGET_SECONDS = 60.0
# Largest number of routers in a full mesh; with more, relays forward the updates.
MAX_MESH_ROUTERS = 16
# Most addresses that callers use from one directory response.
MAX_ADDRESSES = 64
# With at least this many routers in its data centre, a caller gets only the addresses of those; the
# loss of any one still leaves a choice.
MIN_LOCAL_ROUTERS = 3
# Reserve routers together get this fraction (1/8) of a shared budget. As routers use only
# `budget.USED_FRACTION` of the budget, the sum stays below it.
RESERVE_DIVISOR = 8
# Longest time for which the computed list of alive routers is reused while no message changes it.
VIEW_MAX_AGE_SECONDS = 0.2


# Returns all values of a router but its sequence number.
_STABLE_VALUES = operator.attrgetter(
    *(field.name for field in dataclasses.fields(gossip.Router) if field.name != "sequence")
)


class ListKind(enum.Enum):
    """What a roster states about the routers in it.

    HEARD: The sender receives their messages directly.
    VIEW: The sender, a relay of the receiver, considers them alive.
    HINT: They exist; nothing is stated about whether they are alive.
    """

    HEARD = "heard"
    VIEW = "view"
    HINT = "hint"


class Audience(enum.Enum):
    """Group of receivers of a status message, which decides what the message contains.

    FELLOW: A relay of the same data centre, or any router in a full mesh.
    REMOTE: A relay of another data centre.
    LOCAL: An advertised router of the data centre for which this one is a relay.
    RESERVE: A router of that data centre that is not advertised to callers and has no requests.
    """

    FELLOW = "fellow"
    REMOTE = "remote"
    LOCAL = "local"
    RESERVE = "reserve"


@records.state
class RouterRecord:
    """A known router.

    Attributes:
      router: Its last known state.
      last_status_at: Monotonic seconds of the last message from the router itself.
      last_alive_at: Monotonic seconds at which it was last considered alive.
      has_requests: Whether it had requests at endpoints when it sent its last message.
    """

    router: gossip.Router
    last_status_at: float
    last_alive_at: float
    has_requests: bool = False


@records.record
class Roster:
    """List of routers that another router sent.

    Attributes:
      names: Names of the listed routers.
      checksum: Checksum of the list.
      kind: What the list states about them.
    """

    names: frozenset[str]
    checksum: int
    kind: ListKind


@records.record
class Topology:
    """Gossip topology as one router computes it.

    Attributes:
      is_mesh: Whether the routers form a full mesh.
      relays: Names of the relays of the own data centre, empty in a full mesh.
      status_targets: Routers to which this router sends status messages.
      advertised: Names of the routers that are advertised to callers.
      store_order: Names of the relays of all data centres as far as they are known, in the order in
        which they follow the store; empty unless this router is a relay.
    """

    is_mesh: bool
    relays: frozenset[str]
    status_targets: tuple[gossip.Router, ...]
    advertised: frozenset[str]
    store_order: tuple[str, ...] = ()


def checksum(listed: Iterable[gossip.Router]) -> int:
    """Return a checksum of a list of routers: of their names, starts, readiness and addresses.

    Args:
      listed: Routers, in any order.
    """
    hasher = hashlib.blake2b(digest_size=7)
    for router in sorted(listed, key=lambda item: item.name):
        text = f"{router.name} {router.boot} {router.is_ready} {router.ingress_address}\n"
        hasher.update(text.encode())
    return int.from_bytes(hasher.digest(), "big")


def _is_equal_except_sequence(one: gossip.Router, other: gossip.Router) -> bool:
    return _STABLE_VALUES(one) == _STABLE_VALUES(other)


def _freshness_key(router: gossip.Router) -> tuple[int, int]:
    return (router.boot, router.sequence)


class RouterTable:
    """Membership table of one router.

    Attributes:
      own: State of this router.
      known: Known routers by name, without this one.
      rosters: Last roster of each router that sent one, by name of the sender.
      view: Other routers that this one considers alive, as of `view_computed_at`.
      alive_names: Names of the routers in `view`.
      topology: Gossip topology as of `view_computed_at`.
      coordination: How closely the routers coordinate.

    Args:
      own: State of this router.
    """

    def __init__(self, own: gossip.Router):
        self.own = own
        self.known: dict[str, RouterRecord] = {}
        self.rosters: dict[str, Roster] = {}
        self.view: list[gossip.Router] = []
        self.view_computed_at = -1e9
        self.alive_names: frozenset[str] = frozenset()
        self.topology = Topology(True, frozenset(), (), frozenset())
        self.coordination = router_ranking.USUAL_COORDINATION

    def coordinate(self, coordination: router_ranking.Coordination) -> None:
        """Change how closely the routers coordinate."""
        self.coordination = coordination
        self.view_computed_at = -1e9

    # Updates

    def record_status(self, router: gossip.Router, now: float, has_requests: bool = False) -> bool:
        """Record the state in a status message of a router.

        Args:
          router: State of the sender.
          now: Monotonic seconds.
          has_requests: Whether the sender has requests at endpoints.

        Returns:
          Whether it is newer than the known state; a reordered message is not.
        """
        if router.name == self.own.name:
            return False
        known = self.known.get(router.name)
        if (
            known is None
            or router.name not in self.alive_names
            or not _is_equal_except_sequence(router, known.router)
        ):
            self.view_computed_at = -1e9
        if known is not None and _freshness_key(router) <= _freshness_key(known.router):
            # If the clock was set back, a restarted process has an earlier start time than its
            # predecessor.
            is_silent = now - known.last_status_at > FAILURE_TIMEOUT_SECONDS
            if not is_silent or router.boot == known.router.boot:
                return False
        self.known[router.name] = RouterRecord(router, now, now, has_requests)
        return True

    def add_known(self, router: gossip.Router, now: float) -> None:
        """Add a router that exists but from which no message has arrived yet."""
        if router.name != self.own.name and router.name not in self.known:
            self.known[router.name] = RouterRecord(router, -1e9, now)
            self.view_computed_at = -1e9

    def apply_roster(
        self, sender: str, listed: Iterable[gossip.Router], kind: ListKind, now: float
    ) -> None:
        """Apply the roster of another router; it is valid while messages from that router arrive.

        Args:
          sender: Name of the router that sent the roster.
          listed: The listed routers.
          kind: What the roster states about them.
          now: Monotonic seconds.
        """
        listed = list(listed)
        for router in listed:
            known = self.known.get(router.name)
            if known is None:
                self.add_known(router, now)
            elif _freshness_key(router) > _freshness_key(known.router):
                known.router = router
        names = frozenset(router.name for router in listed) - {sender}
        self.rosters[sender] = Roster(names, checksum(listed), kind)
        self.view_computed_at = -1e9

    def has_current_roster(self, sender: str, roster_checksum: int) -> bool:
        """Return whether the current roster of a router is known.

        A roster that the router no longer has is dropped.

        Args:
          sender: Name of the router.
          roster_checksum: Checksum of its roster, 0 when it has none to send.
        """
        if not roster_checksum:
            if self.rosters.pop(sender, None) is not None:
                self.view_computed_at = -1e9
            return True
        known = self.rosters.get(sender)
        return known is not None and known.checksum == roster_checksum

    def advance_sequence(self) -> gossip.Router:
        """Increment the sequence number of this router; return its state for the next message."""
        self.own = dataclasses.replace(self.own, sequence=self.own.sequence + 1)
        return self.own

    def remove_silent(self, now: float) -> None:
        """Forget routers that have not been alive for `FORGET_SECONDS`."""
        self.alive(now)
        for name in [n for n, k in self.known.items() if now - k.last_alive_at > FORGET_SECONDS]:
            del self.known[name]
            self.rosters.pop(name, None)
            self.view_computed_at = -1e9

    # Liveness

    def heard_directly(
        self, now: float, seconds: float = FAILURE_TIMEOUT_SECONDS
    ) -> list[gossip.Router]:
        """Return the routers whose last message is recent.

        Args:
          now: Monotonic seconds.
          seconds: Greatest age of the last message.
        """
        return [k.router for k in self.known.values() if now - k.last_status_at < seconds]

    def alive(self, now: float) -> list[gossip.Router]:
        """Return the other routers that this one considers alive."""
        if not 0 <= now - self.view_computed_at < VIEW_MAX_AGE_SECONDS:
            self._recompute(now)
        return self.view

    def _recompute(self, now: float) -> None:
        listed = self._heard_or_listed(now, (ListKind.HEARD, ListKind.VIEW))
        own_relays = router_ranking.top_by_capacity([*listed, self.own], self.own.data_centre)
        is_relay = any(router.name == self.own.name for router in own_relays)
        is_mesh = len(self.known) < MAX_MESH_ROUTERS
        is_listing_enough = not is_mesh and not is_relay
        self.view = listed if is_listing_enough else self._heard_or_listed(now, (ListKind.HEARD,))
        self.view_computed_at = now
        self.alive_names = frozenset(router.name for router in self.view)
        for name in self.alive_names:
            self.known[name].last_alive_at = now
        relays = frozenset() if is_mesh else frozenset(router.name for router in own_relays)
        targets = (
            self._known_routers()
            if is_mesh
            else self._choose_status_targets(own_relays, is_relay, now)
        )
        advertised = frozenset(
            router.name
            for router in router_ranking.advertised(
                [self.own, *(self.view or self._known_routers())], self.coordination
            )
        )
        order = [] if is_listing_enough else router_ranking.store_order([self.own, *self.view])
        store_order = tuple(router.name for router in order)
        self.topology = Topology(is_mesh, relays, tuple(targets), advertised, store_order)

    def _heard_or_listed(self, now: float, kinds: tuple[ListKind, ...]) -> list[gossip.Router]:
        """Return the routers whose messages arrive directly, and those listed by one of them.

        The roster of a relay whose messages stopped remains valid for `ROSTER_LINGER_SECONDS`, but
        not for routers whose messages arrived directly and stopped at about the same time.
        """
        fresh: set[str] = set()
        lingering: set[str] = set()
        for sender, roster in self.rosters.items():
            known = self.known.get(sender)
            if known is None or roster.kind not in kinds:
                continue
            if now - known.last_status_at < FAILURE_TIMEOUT_SECONDS:
                fresh |= roster.names
            elif now - known.last_status_at < FAILURE_TIMEOUT_SECONDS + ROSTER_LINGER_SECONDS:
                lingering |= roster.names
        found = []
        for name, known in self.known.items():
            silence = now - known.last_status_at
            if (
                silence < FAILURE_TIMEOUT_SECONDS
                or name in fresh
                or (name in lingering and silence > FAILURE_TIMEOUT_SECONDS + ROSTER_LINGER_SECONDS)
            ):
                found.append(known.router)
        return found

    def _known_routers(self) -> list[gossip.Router]:
        return [known.router for known in self.known.values()]

    def alive_or_all(self, now: float) -> list[gossip.Router]:
        """Return the routers that are alive, or all known ones when none is considered alive.

        A router that receives no messages is more likely partitioned from the others than the only
        one alive.
        """
        return self.alive(now) or self._known_routers()

    # Topology

    def _choose_status_targets(self, own_relays, is_relay: bool, now: float) -> list[gossip.Router]:
        if not is_relay:
            return [*own_relays, *self._probe_targets(now)]
        own = self.own.data_centre
        targets = [router for router in self.view if router.data_centre == own]
        for data_centre in sorted({router.data_centre for router in self._known_routers()} - {own}):
            targets += router_ranking.top_by_capacity(self.view, data_centre)
        return targets + self._probe_targets(now)

    def _probe_targets(self, now: float) -> list[gossip.Router]:
        """Return routers that are not considered alive but are probed, as they may have recovered.

        Those of this data centre with the most CPU capacity are always probed, as they would become
        relays; the others are probed in turn.
        """
        not_alive = [
            router for router in self._known_routers() if router.name not in self.alive_names
        ]
        not_alive.sort(key=router_ranking.sort_key)
        offset = (
            int(now / FAILURE_TIMEOUT_SECONDS)
            * router_ranking.RELAYS_PER_DATA_CENTRE
            % max(1, len(not_alive))
        )
        probed = not_alive[offset : offset + router_ranking.RELAYS_PER_DATA_CENTRE]
        preferred = router_ranking.top_by_capacity(not_alive, self.own.data_centre)
        return preferred + [router for router in probed if router not in preferred]

    def current_topology(self, now: float) -> Topology:
        """Return the current gossip topology."""
        self.alive(now)
        return self.topology

    def status_targets(self, now: float) -> tuple[gossip.Router, ...]:
        """Return the routers to which this one sends status messages."""
        return self.current_topology(now).status_targets

    def is_relay(self, now: float) -> bool:
        """Return whether this router forwards updates, follows the store and may order weights."""
        topology = self.current_topology(now)
        return topology.is_mesh or self.own.name in topology.relays

    def is_reserve(self, now: float) -> bool:
        """Return whether this router is neither a relay nor advertised to callers."""
        topology = self.current_topology(now)
        is_needed = self.own.name in topology.advertised or self.own.name in topology.relays
        return not topology.is_mesh and not is_needed

    def is_proven_relay(self, now: float) -> bool:
        """Return whether this router is a relay and knows enough routers to be sure of that."""
        return self.own.name in self.current_topology(now).relays

    def store_rank(self, now: float) -> int | None:
        """Return this router's rank in the order of store followers, None if it is no relay.

        In a full mesh all routers have rank 0.
        """
        topology = self.current_topology(now)
        if topology.is_mesh:
            return 0
        if self.own.name not in topology.relays:
            return None
        return topology.store_order.index(self.own.name)

    def is_top_ranked(self, now: float) -> bool:
        """Return whether this router ranks as a relay among the live routers of its data centre."""
        found = router_ranking.top_by_capacity([*self.alive(now), self.own], self.own.data_centre)
        return any(router.name == self.own.name for router in found)

    def audience(self, router: gossip.Router, now: float) -> Audience:
        """Return the audience to which another router belongs."""
        topology = self.current_topology(now)
        if topology.is_mesh:
            return Audience.FELLOW
        if router.data_centre != self.own.data_centre:
            return Audience.REMOTE
        if self.own.name not in topology.relays or router.name in topology.relays:
            return Audience.FELLOW
        known = self.known.get(router.name)
        is_serving = known is not None and known.has_requests
        is_reserve = not is_serving and router.name not in topology.advertised
        return Audience.RESERVE if is_reserve else Audience.LOCAL

    def is_relayed_to(self, router: gossip.Router, now: float) -> bool:
        """Return whether this router is the relay of another one."""
        return self.audience(router, now) in (Audience.LOCAL, Audience.RESERVE)

    def roster(self, audience: Audience, now: float) -> list[gossip.Router]:
        """Return the roster that this router sends to an audience."""
        if audience in (Audience.LOCAL, Audience.RESERVE):
            return [*self.alive(now), self.own]
        return self.heard_directly(now) if self.is_relay(now) else []

    # Directory

    def advertised(self, now: float) -> list[gossip.Router]:
        """Return the routers that are advertised to callers.

        These are the ones with high CPU capacity while they suffice.
        """
        found = [self.own, *self.alive_or_all(now)]
        return router_ranking.advertised(found, self.coordination)

    def budget_divisor(self, now: float) -> int:
        """Return the number by which this router divides a budget that all routers share.

        Advertised routers share the budget equally. The others, which only serve callers with an
        outdated directory response, together have an eighth of it.
        """
        if len(self.known) < MAX_MESH_ROUTERS:
            return 1 + len(self.known)
        advertised = self.advertised(now)
        if self.own in advertised:
            return len(advertised)
        return RESERVE_DIVISOR * (1 + len(self.known))

    def addresses(self, data_centre: str, now: float) -> list[str]:
        """Return the ingress addresses that callers of a data centre should use.

        Args:
          data_centre: Data centre of the caller.
          now: Monotonic seconds.
        """
        advertised = self.advertised(now)
        local = [router for router in advertised if router.data_centre == data_centre]
        chosen = sorted(
            local if len(local) >= MIN_LOCAL_ROUTERS else advertised, key=lambda router: router.name
        )
        if len(chosen) > MAX_ADDRESSES:
            # Each router omits different ones, so that callers spread over all of them.
            offset = zlib.crc32(self.own.name.encode()) % len(chosen)
            chosen = [*chosen[offset:], *chosen[:offset]][:MAX_ADDRESSES]
        return [router.ingress_address for router in chosen]
