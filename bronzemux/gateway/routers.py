"""Which routers there are, how they reach each other, and which of them callers are told to use.

A machine without I/O. While routers are few, each talks to all. Beyond that, the strongest two of
each data centre are relays: they talk to all of their data centre and to the relays of the others,
and the rest talks to them alone.

A router is alive for another one that gets its messages, or that gets a list with it. Relays tell
each other only whom they hear themselves, and only relays tell the rest whom they hold for alive;
so no two routers keep a third one alive by telling each other of it.
"""

import dataclasses
import enum
import hashlib
import zlib
from collections.abc import Iterable

from bronzemux.gateway import gossip, router_ranking

# Four messages a second keep news well below the second in which callers give up connecting.
STATUS_SECONDS = 0.25
# A router is taken to be away after this many of its status messages are missing.
MISSED_STATUSES = 5
SILENT_SECONDS = STATUS_SECONDS * MISSED_STATUSES
# The list of a relay that fell silent counts for this much longer: the time in which its
# data centre chooses another.
LINGER_SECONDS = SILENT_SECONDS
# Routers that nobody showed for so long are no longer connected to.
FORGET_SECONDS = 60.0
# Routers that all talk to each other; with more, relays pass news on.
MAX_MESH = 16
# Most addresses that callers take from one answer.
MAX_ADDRESSES = 64
# Callers of a data centre are told only of its own routers from this many on, so that the loss
# of any one leaves a choice.
LOCAL_ROUTERS = 3
# Reserve routers together get this part of a shared budget; with the part that is used of the
# budget (`budget.USED_SHARE`) the sum stays below it.
RESERVE_DIVISOR = 8
# What is alive is worked out anew at most this often between messages.
VIEW_SECONDS = 0.2


class ListKind(enum.Enum):
    """What a list of routers says.

    HEARD: The sender hears them itself.
    VIEW: The sender, a relay of the receiver, holds them for alive.
    HINT: They exist.
    """

    HEARD = "heard"
    VIEW = "view"
    HINT = "hint"


class Audience(enum.Enum):
    """Who a status message is for, which decides what is passed on in it.

    FELLOW: A relay of the same data centre, or any router while all talk to each other.
    REMOTE: A relay of another data centre.
    LOCAL: A router of the data centre for which this one is a relay.
    RESERVE: One of these that callers are not told to use.
    """

    FELLOW = "fellow"
    REMOTE = "remote"
    LOCAL = "local"
    RESERVE = "reserve"


@dataclasses.dataclass
class Known:
    """A router that was heard of.

    Attributes:
      router: What it last told.
      heard_at: Monotonic seconds of its last own message.
      shown_at: Monotonic seconds at which it was last alive here.
    """

    router: gossip.Router
    heard_at: float
    shown_at: float


@dataclasses.dataclass(frozen=True)
class Roster:
    """Routers that another one listed.

    Attributes:
      names: Their names.
      checksum: Checksum of the list.
      kind: What the list says.
    """

    names: frozenset[str]
    checksum: int
    kind: ListKind


@dataclasses.dataclass(frozen=True)
class Layout:
    """Who talks to whom, as one router works it out.

    Attributes:
      is_mesh: Whether routers are so few that each talks to all.
      relays: Names of the relays of the own data centre.
      targets: Routers that get the own status messages.
      advertised: Names of the routers that callers are told to use.
    """

    is_mesh: bool
    relays: frozenset[str]
    targets: tuple[gossip.Router, ...]
    advertised: frozenset[str]


def checksum(found: Iterable[gossip.Router]) -> int:
    """Return a number that differs when the list or what matters of its routers differs."""
    hasher = hashlib.blake2b(digest_size=7)
    for router in sorted(found, key=lambda item: item.name):
        text = f"{router.name} {router.boot} {router.is_ready} {router.ingress_address}\n"
        hasher.update(text.encode())
    return int.from_bytes(hasher.digest(), "big")


def _is_alike(one: gossip.Router, other: gossip.Router) -> bool:
    return dataclasses.replace(one, sequence=other.sequence) == other


def _age_key(router: gossip.Router) -> tuple[int, int]:
    return (router.boot, router.sequence)


class RouterTable:
    """Routers as one router knows them.

    Args:
      own: This router.
    """

    def __init__(self, own: gossip.Router):
        self.own = own
        self.known: dict[str, Known] = {}
        self.rosters: dict[str, Roster] = {}
        self.view: list[gossip.Router] = []
        self.view_at = -1e9
        self.names: frozenset[str] = frozenset()
        self.layout = Layout(True, frozenset(), (), frozenset())

    # News

    def record_status(self, router: gossip.Router, now: float) -> bool:
        """Take in what a router told of itself.

        Args:
          router: What it told.
          now: Monotonic seconds.

        Returns:
          Whether it is news; a message that was overtaken is none.
        """
        if router.name == self.own.name:
            return False
        known = self.known.get(router.name)
        if known is None or router.name not in self.names or not _is_alike(router, known.router):
            self.view_at = -1e9
        if known is not None and _age_key(router) <= _age_key(known.router):
            # A clock that was set back gives a new process an earlier start than the one before.
            is_silent = now - known.heard_at > SILENT_SECONDS
            if not is_silent or router.boot == known.router.boot:
                return False
        self.known[router.name] = Known(router, now, now)
        return True

    def add_known(self, router: gossip.Router, now: float) -> None:
        """Note that a router exists, without a sign that it is alive."""
        if router.name != self.own.name and router.name not in self.known:
            self.known[router.name] = Known(router, -1e9, now)
            self.view_at = -1e9

    def take_roster(
        self, sender: str, found: Iterable[gossip.Router], kind: ListKind, now: float
    ) -> None:
        """Take the list of another router in; it counts while that router itself is heard.

        Args:
          sender: Name of the router that listed them.
          found: The routers.
          kind: What the list says.
          now: Monotonic seconds.
        """
        found = list(found)
        for router in found:
            known = self.known.get(router.name)
            if known is None:
                self.add_known(router, now)
            elif _age_key(router) > _age_key(known.router):
                known.router = router
        names = frozenset(router.name for router in found) - {sender}
        self.rosters[sender] = Roster(names, checksum(found), kind)
        self.view_at = -1e9

    def has_roster(self, sender: str, number: int) -> bool:
        """Return whether the list of a router is known as it is now.

        Args:
          sender: Name of the router.
          number: Checksum of its list, 0 when it has none to tell.
        """
        if not number:
            if self.rosters.pop(sender, None) is not None:
                self.view_at = -1e9
            return True
        known = self.rosters.get(sender)
        return known is not None and known.checksum == number

    def next_own_status(self) -> gossip.Router:
        """Return what this router tells of itself in its next message."""
        self.own = dataclasses.replace(self.own, sequence=self.own.sequence + 1)
        return self.own

    def forget_silent(self, now: float) -> None:
        """Drop routers that nobody showed for long."""
        self.alive(now)
        for name in [n for n, k in self.known.items() if now - k.shown_at > FORGET_SECONDS]:
            del self.known[name]
            self.rosters.pop(name, None)
            self.view_at = -1e9

    # Who is alive

    def heard_directly(self, now: float, seconds: float = SILENT_SECONDS) -> list[gossip.Router]:
        """Return the routers whose own messages came a moment ago."""
        return [k.router for k in self.known.values() if now - k.heard_at < seconds]

    def alive(self, now: float) -> list[gossip.Router]:
        """Return the routers that are alive as far as is known here, without this one."""
        if not 0 <= now - self.view_at < VIEW_SECONDS:
            self._work_out(now)
        return self.view

    def _work_out(self, now: float) -> None:
        heard = self._listed(now, (ListKind.HEARD,))
        listed = self._listed(now, (ListKind.HEARD, ListKind.VIEW))
        own_relays = router_ranking.top_by_capacity([*listed, self.own], self.own.data_centre)
        is_relay = any(router.name == self.own.name for router in own_relays)
        is_mesh = len(self.known) < MAX_MESH
        self.view, self.view_at = (heard if is_mesh or is_relay else listed), now
        self.names = frozenset(router.name for router in self.view)
        for name in self.names:
            self.known[name].shown_at = now
        relays = frozenset() if is_mesh else frozenset(router.name for router in own_relays)
        targets = self._all() if is_mesh else self._targets(own_relays, is_relay, now)
        advertised = frozenset(
            router.name
            for router in router_ranking.advertised([self.own, *(self.view or self._all())])
        )
        self.layout = Layout(is_mesh, relays, tuple(targets), advertised)

    def _listed(self, now: float, kinds: tuple[ListKind, ...]) -> list[gossip.Router]:
        """Return the routers that are heard here, or are on a list of one that is heard.

        The list of a relay that fell silent counts a little longer, but not for routers that were
        heard here and fell silent with it.
        """
        fresh: set[str] = set()
        lingering: set[str] = set()
        for sender, roster in self.rosters.items():
            known = self.known.get(sender)
            if known is None or roster.kind not in kinds:
                continue
            if now - known.heard_at < SILENT_SECONDS:
                fresh |= roster.names
            elif now - known.heard_at < SILENT_SECONDS + LINGER_SECONDS:
                lingering |= roster.names
        found = []
        for name, known in self.known.items():
            silence = now - known.heard_at
            if (
                silence < SILENT_SECONDS
                or name in fresh
                or (name in lingering and silence > SILENT_SECONDS + LINGER_SECONDS)
            ):
                found.append(known.router)
        return found

    def _all(self) -> list[gossip.Router]:
        return [known.router for known in self.known.values()]

    def believed(self, now: float) -> list[gossip.Router]:
        """Return the routers that are alive, or all known ones when none seems to be.

        Who hears nobody is more likely to be cut off itself than to be the last one.
        """
        return self.alive(now) or self._all()

    # Who talks to whom

    def _targets(self, own_relays, is_relay: bool, now: float) -> list[gossip.Router]:
        if not is_relay:
            return [*own_relays, *self._probed(now)]
        own = self.own.data_centre
        targets = [router for router in self.view if router.data_centre == own]
        for data_centre in sorted({router.data_centre for router in self._all()} - {own}):
            targets += router_ranking.top_by_capacity(self.view, data_centre)
        return targets + self._probed(now)

    def _probed(self, now: float) -> list[gossip.Router]:
        """Return routers that nobody shows and that are tried, as they may be back.

        The strongest of the data centre are tried all the time, as they would be relays; the rest
        takes turns.
        """
        doubtful = [router for router in self._all() if router.name not in self.names]
        doubtful.sort(key=router_ranking.sort_key)
        start = int(now / SILENT_SECONDS) * router_ranking.RELAYS % max(1, len(doubtful))
        turn = doubtful[start : start + router_ranking.RELAYS]
        first = router_ranking.top_by_capacity(doubtful, self.own.data_centre)
        return first + [router for router in turn if router not in first]

    def current(self, now: float) -> Layout:
        """Return who talks to whom now."""
        self.alive(now)
        return self.layout

    def targets(self, now: float) -> tuple[gossip.Router, ...]:
        """Return the routers that get this one's status messages."""
        return self.current(now).targets

    def is_relay(self, now: float) -> bool:
        """Return whether this router passes news on, follows the store and may give orders."""
        layout = self.current(now)
        return layout.is_mesh or self.own.name in layout.relays

    def is_top_ranked(self, now: float) -> bool:
        """Return whether this router is one of the strongest of its data centre that it knows."""
        found = router_ranking.top_by_capacity([*self.alive(now), self.own], self.own.data_centre)
        return any(router.name == self.own.name for router in found)

    def audience(self, router: gossip.Router, now: float) -> Audience:
        """Return what another router is to this one."""
        layout = self.current(now)
        if layout.is_mesh:
            return Audience.FELLOW
        if router.data_centre != self.own.data_centre:
            return Audience.REMOTE
        if self.own.name not in layout.relays or router.name in layout.relays:
            return Audience.FELLOW
        return Audience.LOCAL if router.name in layout.advertised else Audience.RESERVE

    def is_relayed_to(self, router: gossip.Router, now: float) -> bool:
        """Return whether this router is a relay for another one."""
        return self.audience(router, now) in (Audience.LOCAL, Audience.RESERVE)

    def roster(self, audience: Audience, now: float) -> list[gossip.Router]:
        """Return the list of routers that another one gets from this one."""
        if audience in (Audience.LOCAL, Audience.RESERVE):
            return [*self.alive(now), self.own]
        return self.heard_directly(now) if self.is_relay(now) else []

    # Who serves callers

    def advertised(self, now: float) -> list[gossip.Router]:
        """Return the routers that callers are told to use: the strong ones while they suffice."""
        return router_ranking.advertised([self.own, *self.believed(now)])

    def budget_divisor(self, now: float) -> int:
        """Return by how many this router divides a budget that all of them share.

        Routers that callers are told to use share it; the others, which only serve callers that
        come late, have an eighth of it together.
        """
        if len(self.known) < MAX_MESH:
            return 1 + len(self.known)
        advertised = self.advertised(now)
        if self.own in advertised:
            return len(advertised)
        return RESERVE_DIVISOR * (1 + len(self.known))

    def addresses(self, data_centre: str, now: float) -> list[str]:
        """Return where callers of a data centre connect.

        Args:
          data_centre: Where the caller is.
          now: Monotonic seconds.
        """
        advertised = self.advertised(now)
        local = [router for router in advertised if router.data_centre == data_centre]
        chosen = sorted(
            local if len(local) >= LOCAL_ROUTERS else advertised, key=lambda router: router.name
        )
        if len(chosen) > MAX_ADDRESSES:
            # Each router leaves others out, so that callers spread over all of them.
            start = zlib.crc32(self.own.name.encode()) % len(chosen)
            chosen = [*chosen[start:], *chosen[:start]][:MAX_ADDRESSES]
        return [router.ingress_address for router in chosen]
