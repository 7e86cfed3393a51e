"""Membership of routers after SWIM (Das, Gupta, Motivala 2002), as a machine without I/O.

Routers of one data centre probe each other. Between data centres only relays do, the members with
the lowest hashes of their name, which everyone chooses alike.
"""

import collections
import dataclasses
import functools
import hashlib
import math
import random

from bronzemux import wire

PERIOD_SECONDS = 1.0
COLD_PERIOD_SECONDS = 0.3
ACK_SECONDS = 0.3
INDIRECT_PROBES = 3
SUSPICION_PERIODS = 3.0
RELAYS = 2
MAX_UPDATES = 15
MAX_CONDEMNED_UPDATES = 4
MAX_SYNC_MEMBERS = 2_000
MAX_CONDEMNED = 1_000
RETRANSMIT_FACTOR = 3
RECONNECT_PERIODS = 5
FORGET_DEAD_SECONDS = 3600.0
FANOUT = 3


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A message for an address."""

    address: str
    message: object


@dataclasses.dataclass
class Entry:
    """What one router knows of another.

    Attributes:
      member: Its last known description.
      changed_at: Monotonic seconds of the last change of state.
    """

    member: wire.Member
    changed_at: float


@dataclasses.dataclass
class Probe:
    """A probe that waits for its answer.

    Attributes:
      target: Name of the member.
      sent_at: Monotonic seconds.
      is_indirect: Whether others were asked to probe.
    """

    target: str
    sent_at: float
    is_indirect: bool = False


class Membership:
    """Members as one router knows them; owned by one task.

    Args:
      own: This router; its incarnation is at first the time of its start.
      seed: Seed of the order of probes.
    """

    def __init__(self, own: wire.Member, seed: str):
        self.own = own
        self.random = random.Random(seed)
        self.entries: dict[str, Entry] = {}
        self.probes: dict[int, Probe] = {}
        self.passed_on: dict[int, tuple[int, str]] = {}
        self.sequence = 0
        self.order: list[str] = []
        self.updates: collections.Counter[str] = collections.Counter()
        self.condemned: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.condemned_updates: collections.Counter[str] = collections.Counter()
        self.config_version = 0
        self.peer_config_versions: dict[str, int] = {}
        self.next_period = 0.0
        self.periods = 0
        self.seeds: dict[str, tuple[str, str]] = {}

    # Questions

    def members(self) -> list[wire.Member]:
        """Return all members, this router first."""
        return [self.own, *(entry.member for entry in self.entries.values())]

    def alive(self) -> list[wire.Member]:
        """Return the members that are not dead, this router first."""
        return [m for m in self.members() if m.state is not wire.MemberState.DEAD]

    def relays(self, data_centre: str) -> list[wire.Member]:
        """Return the relays of a data centre, as this router knows its members."""
        there = [m for m in self.alive() if m.data_centre == data_centre]
        return sorted(there, key=_hash_of_name)[:RELAYS]

    def is_relay(self) -> bool:
        """Return whether this router is a relay of its data centre."""
        return self.own in self.relays(self.own.data_centre)

    # Input

    def set_seeds(self, routers: dict[str, tuple[str, str]]) -> None:
        """Take the routers of the VM list.

        Args:
          routers: Data centre and address by name.
        """
        self.seeds = {name: place for name, place in routers.items() if name != self.own.name}

    def drain(self) -> list[Outgoing]:
        """Tell that this router takes no new callers."""
        self._renew(is_draining=True)
        return self._announce()

    def condemn(self, fingerprints: tuple[str, ...]) -> list[Outgoing]:
        """Spread fingerprints of requests that crash endpoints."""
        self._take_condemned(fingerprints)
        return self._announce()

    def set_config_version(self, version: int) -> list[Outgoing]:
        """Tell which configuration is in force here."""
        self.config_version = version
        return self._announce()

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due and return the messages to send.

        Args:
          now: Monotonic seconds.
        """
        out = self._check_probes(now)
        if now >= self.next_period:
            period = PERIOD_SECONDS if self.config_version else COLD_PERIOD_SECONDS
            self.next_period = max(self.next_period + period, now)
            self.periods += 1
            out += self._start_period(now)
        return out

    def receive(self, message, now: float) -> list[Outgoing]:
        """Take a message in and return the messages to send.

        Args:
          message: One of `wire.TYPES`; those that are not of the membership are left out.
          now: Monotonic seconds.
        """
        gossip = getattr(message, "gossip", None)
        if gossip is None:
            return []
        self._take_gossip(gossip, now)
        return self._answer(message, now)

    # Messages

    @functools.singledispatchmethod
    def _answer(self, message, now: float) -> list[Outgoing]:
        return []

    @_answer.register
    def _answer_ping(self, message: wire.Ping, now: float) -> list[Outgoing]:
        gossip = self._gossip(about=message.gossip.sender.name)
        ack = wire.Ack(message.sequence, gossip, self.own.name)
        return [Outgoing(message.gossip.sender.address, ack)]

    @_answer.register
    def _answer_ack(self, message: wire.Ack, now: float) -> list[Outgoing]:
        origin = self.passed_on.pop(message.sequence, None)
        if origin is not None:
            sequence, address = origin
            return [Outgoing(address, wire.Ack(sequence, self._gossip(), message.subject))]
        probe = self.probes.pop(message.sequence, None)
        if probe is not None and probe.target == message.subject:
            self._confirm(message.subject, now)
        return []

    @_answer.register
    def _answer_request(self, message: wire.PingRequest, now: float) -> list[Outgoing]:
        sequence = self._next_sequence()
        self.passed_on[sequence] = (message.sequence, message.gossip.sender.address)
        return [Outgoing(message.target.address, wire.Ping(sequence, self._gossip()))]

    @_answer.register
    def _answer_sync(self, message: wire.SyncRequest, now: float) -> list[Outgoing]:
        members = tuple(self.members()[:MAX_SYNC_MEMBERS])
        condemned = tuple(self.condemned)
        gossip = wire.Gossip(self.own, self.config_version, members, condemned)
        return [Outgoing(message.gossip.sender.address, wire.Sync(gossip))]

    def _confirm(self, name: str, now: float) -> None:
        """Note a direct or passed-on sign of life; only the member itself ends a suspicion."""
        entry = self.entries.get(name)
        if entry is not None and entry.member.state is wire.MemberState.ALIVE:
            entry.changed_at = now

    # Periods

    def _start_period(self, now: float) -> list[Outgoing]:
        self._bury_suspects(now)
        out = []
        target = self._next_target()
        if target is not None:
            out.append(self._probe(target.name, target.address, now))
        if self.is_relay():
            out += self._probe_other_data_centre(now)
        if not self.config_version:
            out += self._ask_for_configuration()
        elif self.periods % RECONNECT_PERIODS == 1 or not self.entries:
            out += self._reconnect()
        return out

    def _next_target(self) -> wire.Member | None:
        """Return the next member of this data centre in a shuffled round."""
        while True:
            if not self.order:
                self.order = [m.name for m in self.alive()[1:] if self._is_near(m)]
                self.random.shuffle(self.order)
                if not self.order:
                    return None
            entry = self.entries.get(self.order.pop())
            if entry is not None and entry.member.state is not wire.MemberState.DEAD:
                return entry.member

    def _is_near(self, member: wire.Member) -> bool:
        return member.data_centre == self.own.data_centre

    def _probe_other_data_centre(self, now: float) -> list[Outgoing]:
        others = sorted({m.data_centre for m in self.alive() if not self._is_near(m)})
        if not others:
            return []
        data_centre = others[self.periods % len(others)]
        relay = self.random.choice(self.relays(data_centre))
        return [self._probe(relay.name, relay.address, now)]

    def _ask_for_configuration(self) -> list[Outgoing]:
        """Ask a few routers of the VM list while this one has no configuration."""
        addresses = sorted({place[1] for place in self.seeds.values()} - {self.own.address})
        chosen = self.random.sample(addresses, min(FANOUT, len(addresses)))
        return [Outgoing(address, wire.SyncRequest(self._gossip())) for address in chosen]

    def _reconnect(self) -> list[Outgoing]:
        """Ask a router that is unknown or dead here for all it knows; this heals partitions."""
        alive = {member.address for member in self.alive()}
        lost = sorted(name for name, place in self.seeds.items() if place[1] not in alive)
        if not lost:
            return []
        address = self.seeds[self.random.choice(lost)][1]
        return [Outgoing(address, wire.SyncRequest(self._gossip()))]

    def _probe(self, name: str, address: str, now: float) -> Outgoing:
        sequence = self._next_sequence()
        self.probes[sequence] = Probe(name, now)
        return Outgoing(address, wire.Ping(sequence, self._gossip()))

    def _check_probes(self, now: float) -> list[Outgoing]:
        out = []
        for sequence, probe in list(self.probes.items()):
            if not probe.is_indirect and now - probe.sent_at >= ACK_SECONDS:
                probe.is_indirect = True
                out += self._probe_indirectly(sequence, probe)
            if now - probe.sent_at >= PERIOD_SECONDS:
                del self.probes[sequence]
                self._suspect(probe.target, now)
        for sequence in list(self.passed_on)[: -2 * len(self.entries) - INDIRECT_PROBES]:
            del self.passed_on[sequence]
        return out

    def _probe_indirectly(self, sequence: int, probe: Probe) -> list[Outgoing]:
        entry = self.entries.get(probe.target)
        if entry is None:
            return []
        helpers = [m for m in self.alive()[1:] if m.name != probe.target and self._is_near(m)]
        chosen = self.random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        request = wire.PingRequest(sequence, self._gossip(), entry.member)
        return [Outgoing(helper.address, request) for helper in chosen]

    def _suspect(self, name: str, now: float) -> None:
        entry = self.entries.get(name)
        if entry is None or entry.member.state is not wire.MemberState.ALIVE:
            return
        self._store(dataclasses.replace(entry.member, state=wire.MemberState.SUSPECT), now)

    def _bury_suspects(self, now: float) -> None:
        limit = SUSPICION_PERIODS * PERIOD_SECONDS
        for entry in list(self.entries.values()):
            member = entry.member
            age = now - entry.changed_at
            if member.state is wire.MemberState.SUSPECT and age >= limit:
                self._store(dataclasses.replace(member, state=wire.MemberState.DEAD), now)
            elif member.state is wire.MemberState.DEAD and age >= FORGET_DEAD_SECONDS:
                del self.entries[member.name]

    # Gossip

    def _gossip(self, about: str = "") -> wire.Gossip:
        """Return the next news; a member that is held for dead is told so, and can refute it."""
        members = [self.entries[name].member for name in self._take_updates()]
        entry = self.entries.get(about)
        if entry is not None and entry.member.state is not wire.MemberState.ALIVE:
            members.append(entry.member)
        condemned = self._take_some(self.condemned_updates, MAX_CONDEMNED_UPDATES)
        return wire.Gossip(self.own, self.config_version, tuple(members), tuple(condemned))

    def _take_updates(self) -> list[str]:
        names = self._take_some(self.updates, MAX_UPDATES)
        return [name for name in names if name in self.entries]

    def _take_some(self, pending: collections.Counter, limit: int) -> list[str]:
        """Return what was sent least often, and drop what was sent often enough."""
        names = [name for name, _ in pending.most_common(limit)]
        for name in names:
            pending[name] -= 1
            if pending[name] <= 0:
                del pending[name]
        return names

    def _transmissions(self) -> int:
        return RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(len(self.entries) + 2)))

    def _take_gossip(self, gossip: wire.Gossip, now: float) -> None:
        self._take_member(gossip.sender, now)
        self.peer_config_versions[gossip.sender.address] = gossip.config_version
        for member in gossip.members:
            self._take_member(member, now)
        self._take_condemned(gossip.condemned)

    def _take_condemned(self, fingerprints: tuple[str, ...]) -> None:
        for item in fingerprints:
            if item not in self.condemned:
                self.condemned[item] = None
                self.condemned_updates[item] = self._transmissions()
        while len(self.condemned) > MAX_CONDEMNED:
            self.condemned.popitem(last=False)

    def _take_member(self, member: wire.Member, now: float) -> None:
        if member.name == self.own.name:
            self._refute(member)
            return
        entry = self.entries.get(member.name)
        if entry is None or _order_of(member) > _order_of(entry.member):
            self._store(member, now)

    def _refute(self, member: wire.Member) -> None:
        """Raise the own incarnation when others hold an older or worse state for the newest."""
        is_worse = _order_of(member) > _order_of(self.own)
        if is_worse and member != self.own:
            self._renew(incarnation=member.incarnation)

    def _renew(self, incarnation: int = 0, is_draining: bool | None = None) -> None:
        draining = self.own.is_draining if is_draining is None else is_draining
        number = max(self.own.incarnation, incarnation) + 1
        self.own = dataclasses.replace(self.own, incarnation=number, is_draining=draining)

    def _store(self, member: wire.Member, now: float) -> None:
        old = self.entries.get(member.name)
        has_state_changed = old is None or old.member.state is not member.state
        changed_at = now if has_state_changed else old.changed_at
        self.entries[member.name] = Entry(member, changed_at)
        self.updates[member.name] = self._transmissions()

    def _announce(self) -> list[Outgoing]:
        """Return probes that carry news at once, to near members and, from relays, to far ones."""
        near = [m for m in self.alive()[1:] if self._is_near(m)]
        targets = self.random.sample(near, min(FANOUT, len(near)))
        if self.is_relay():
            far = sorted({m.data_centre for m in self.alive() if not self._is_near(m)})
            targets += [self.relays(data_centre)[0] for data_centre in far]
        return [
            Outgoing(target.address, wire.Ping(self._next_sequence(), self._gossip()))
            for target in targets
        ]

    def _next_sequence(self) -> int:
        self.sequence += 1
        return self.sequence


def _order_of(member: wire.Member) -> tuple[int, int]:
    return member.incarnation, int(member.state)


@functools.lru_cache(maxsize=10_000)
def _hash_of(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _hash_of_name(member: wire.Member) -> bytes:
    return _hash_of(member.name)
