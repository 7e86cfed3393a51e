"""SWIM membership of routers (Das, Gupta, Motivala 2002), as a state machine without I/O.

Routers of one data centre probe each other. Only relays probe other data centres. The relays of a
data centre are the members whose names have the lowest hashes, so that all routers that know the
same members choose the same relays.
"""

import collections
import dataclasses
import functools
import hashlib
import math
import random

from bronzemux import wire

PROBE_PERIOD_SECONDS = 1.0
# Probe period until a configuration is known, since each period also requests one.
UNCONFIGURED_PROBE_PERIOD_SECONDS = 0.3
ACK_TIMEOUT_SECONDS = 0.3
MAX_INDIRECT_PROBES = 3
SUSPICION_PERIODS = 3.0
RELAYS_PER_DATA_CENTRE = 2
MAX_MEMBER_UPDATES = 15
MAX_QUARANTINE_UPDATES = 4
MAX_SYNC_MEMBERS = 2_000
MAX_QUARANTINED = 1_000
RETRANSMIT_FACTOR = 3
RECONNECT_PERIODS = 5
DEAD_RETENTION_SECONDS = 3600.0
GOSSIP_FANOUT = 3


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A message to send.

    Attributes:
      address: IP address and port of the receiver.
      message: One of `wire.TYPES`.
    """

    address: str
    message: object


@dataclasses.dataclass
class Entry:
    """State of a router as another one knows it.

    Attributes:
      member: Last known description of the router.
      changed_at: Monotonic seconds of its last change of state, or of its last ack while alive.
    """

    member: wire.Member
    changed_at: float


@dataclasses.dataclass
class Probe:
    """A ping whose ack is outstanding.

    Attributes:
      target: Name of the probed member.
      sent_at: Monotonic seconds at which the ping was sent.
      is_indirect: Whether other members were asked to ping the target.
    """

    target: str
    sent_at: float
    is_indirect: bool = False


class Membership:
    """Members as one router knows them; owned by one task.

    Args:
      own: This router; its initial incarnation is its start time.
      seed: Seed of the random order of probes.
    """

    def __init__(self, own: wire.Member, seed: str):
        self.own = own
        self.random = random.Random(seed)
        self.entries: dict[str, Entry] = {}
        self.probes: dict[int, Probe] = {}
        self.forwarded_probes: dict[int, tuple[int, str]] = {}
        self.sequence = 0
        self.probe_order: list[str] = []
        self.member_transmissions: collections.Counter[str] = collections.Counter()
        self.quarantined: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.quarantine_transmissions: collections.Counter[str] = collections.Counter()
        self.config_version = 0
        self.peer_config_versions: dict[str, int] = {}
        self.next_period = 0.0
        self.periods = 0
        self.seeds: dict[str, tuple[str, str]] = {}

    # Queries

    def members(self) -> list[wire.Member]:
        """Return all members, this router first."""
        return [self.own, *(entry.member for entry in self.entries.values())]

    def alive(self) -> list[wire.Member]:
        """Return the members that are not dead, suspects included, this router first."""
        return [m for m in self.members() if m.state is not wire.MemberState.DEAD]

    def relays(self, data_centre: str) -> list[wire.Member]:
        """Return the relays of a data centre, chosen among the members that this router knows.

        Args:
          data_centre: Name of the data centre.
        """
        candidates = [m for m in self.alive() if m.data_centre == data_centre]
        return sorted(candidates, key=_member_hash)[:RELAYS_PER_DATA_CENTRE]

    def is_relay(self) -> bool:
        """Return whether this router is a relay of its data centre."""
        return self.own in self.relays(self.own.data_centre)

    # Events

    def set_seeds(self, routers: dict[str, tuple[str, str]]) -> None:
        """Set the routers that this router contacts to join and rejoin the others.

        Args:
          routers: Data centre and address of each router of the VM list, by name of the router.
        """
        self.seeds = {name: location for name, location in routers.items() if name != self.own.name}

    def drain(self) -> list[Outgoing]:
        """Announce that this router is draining: it accepts no new callers."""
        self._raise_incarnation(is_draining=True)
        return self._disseminate()

    def quarantine(self, fingerprints: tuple[str, ...]) -> list[Outgoing]:
        """Record and announce fingerprints of requests that crash endpoints.

        Args:
          fingerprints: Fingerprints that this router quarantined.
        """
        self._merge_quarantined(fingerprints)
        return self._disseminate()

    def set_config_version(self, version: int) -> list[Outgoing]:
        """Set and announce the version of the configuration in force at this router.

        Args:
          version: The version.
        """
        self.config_version = version
        return self._disseminate()

    def tick(self, now: float) -> list[Outgoing]:
        """Do the periodic work that is due and return the messages to send.

        Args:
          now: Monotonic seconds.
        """
        out = self._check_probes(now)
        if now >= self.next_period:
            period = (
                PROBE_PERIOD_SECONDS if self.config_version else UNCONFIGURED_PROBE_PERIOD_SECONDS
            )
            self.next_period = max(self.next_period + period, now)
            self.periods += 1
            out += self._start_period(now)
        return out

    def receive(self, message, now: float) -> list[Outgoing]:
        """Handle a received message and return the messages to send.

        Args:
          message: One of `wire.TYPES`; messages without gossip are ignored.
          now: Monotonic seconds.
        """
        gossip = getattr(message, "gossip", None)
        if gossip is None:
            return []
        self._merge_gossip(gossip, now)
        return self._handle(message, now)

    # Message handlers

    @functools.singledispatchmethod
    def _handle(self, message, now: float) -> list[Outgoing]:
        return []

    @_handle.register
    def _handle_ping(self, message: wire.Ping, now: float) -> list[Outgoing]:
        gossip = self._gossip(about=message.gossip.sender.name)
        ack = wire.Ack(message.sequence, gossip, self.own.name)
        return [Outgoing(message.gossip.sender.address, ack)]

    @_handle.register
    def _handle_ack(self, message: wire.Ack, now: float) -> list[Outgoing]:
        requester = self.forwarded_probes.pop(message.sequence, None)
        if requester is not None:
            sequence, address = requester
            return [Outgoing(address, wire.Ack(sequence, self._gossip(), message.subject))]
        probe = self.probes.pop(message.sequence, None)
        if probe is not None and probe.target == message.subject:
            self._refresh_alive(message.subject, now)
        return []

    @_handle.register
    def _handle_ping_request(self, message: wire.PingRequest, now: float) -> list[Outgoing]:
        sequence = self._next_sequence()
        self.forwarded_probes[sequence] = (message.sequence, message.gossip.sender.address)
        return [Outgoing(message.target.address, wire.Ping(sequence, self._gossip()))]

    @_handle.register
    def _handle_sync_request(self, message: wire.SyncRequest, now: float) -> list[Outgoing]:
        members = tuple(self.members()[:MAX_SYNC_MEMBERS])
        quarantined = tuple(self.quarantined)
        gossip = wire.Gossip(self.own, self.config_version, members, quarantined)
        return [Outgoing(message.gossip.sender.address, wire.Sync(gossip))]

    def _refresh_alive(self, name: str, now: float) -> None:
        """Record an ack, direct or forwarded, of a member that is alive.

        An ack does not clear a suspicion: only the member itself does, by a higher incarnation.
        """
        entry = self.entries.get(name)
        if entry is not None and entry.member.state is wire.MemberState.ALIVE:
            entry.changed_at = now

    # Probe periods

    def _start_period(self, now: float) -> list[Outgoing]:
        self._expire_members(now)
        out = []
        target = self._next_target()
        if target is not None:
            out.append(self._probe(target.name, target.address, now))
        if self.is_relay():
            out += self._probe_other_data_centre(now)
        if not self.config_version:
            out += self._request_configuration()
        elif self.periods % RECONNECT_PERIODS == 1 or not self.entries:
            out += self._reconnect()
        return out

    def _next_target(self) -> wire.Member | None:
        """Return the next member of this data centre, in shuffled round-robin order."""
        while True:
            if not self.probe_order:
                self.probe_order = [m.name for m in self.alive()[1:] if self._is_local(m)]
                self.random.shuffle(self.probe_order)
                if not self.probe_order:
                    return None
            entry = self.entries.get(self.probe_order.pop())
            if entry is not None and entry.member.state is not wire.MemberState.DEAD:
                return entry.member

    def _is_local(self, member: wire.Member) -> bool:
        return member.data_centre == self.own.data_centre

    def _probe_other_data_centre(self, now: float) -> list[Outgoing]:
        others = sorted({m.data_centre for m in self.alive() if not self._is_local(m)})
        if not others:
            return []
        data_centre = others[self.periods % len(others)]
        relay = self.random.choice(self.relays(data_centre))
        return [self._probe(relay.name, relay.address, now)]

    def _request_configuration(self) -> list[Outgoing]:
        """Request a sync from a few routers of the VM list, while this one has no configuration."""
        addresses = sorted({location[1] for location in self.seeds.values()} - {self.own.address})
        chosen = self.random.sample(addresses, min(GOSSIP_FANOUT, len(addresses)))
        return [Outgoing(address, wire.SyncRequest(self._gossip())) for address in chosen]

    def _reconnect(self) -> list[Outgoing]:
        """Request a sync from a router of the VM list that is unknown or dead here.

        This rejoins the halves of a healed partition, which consider each other dead and do not
        probe each other.
        """
        alive = {member.address for member in self.alive()}
        unreachable = sorted(
            name for name, location in self.seeds.items() if location[1] not in alive
        )
        if not unreachable:
            return []
        address = self.seeds[self.random.choice(unreachable)][1]
        return [Outgoing(address, wire.SyncRequest(self._gossip()))]

    def _probe(self, name: str, address: str, now: float) -> Outgoing:
        sequence = self._next_sequence()
        self.probes[sequence] = Probe(name, now)
        return Outgoing(address, wire.Ping(sequence, self._gossip()))

    def _check_probes(self, now: float) -> list[Outgoing]:
        out = []
        for sequence, probe in list(self.probes.items()):
            if not probe.is_indirect and now - probe.sent_at >= ACK_TIMEOUT_SECONDS:
                probe.is_indirect = True
                out += self._probe_indirectly(sequence, probe)
            if now - probe.sent_at >= PROBE_PERIOD_SECONDS:
                del self.probes[sequence]
                self._suspect(probe.target, now)
        # Drops the oldest forwarded probes, because those of unreachable targets never get an ack.
        for sequence in list(self.forwarded_probes)[: -2 * len(self.entries) - MAX_INDIRECT_PROBES]:
            del self.forwarded_probes[sequence]
        return out

    def _probe_indirectly(self, sequence: int, probe: Probe) -> list[Outgoing]:
        entry = self.entries.get(probe.target)
        if entry is None:
            return []
        helpers = [m for m in self.alive()[1:] if m.name != probe.target and self._is_local(m)]
        chosen = self.random.sample(helpers, min(MAX_INDIRECT_PROBES, len(helpers)))
        request = wire.PingRequest(sequence, self._gossip(), entry.member)
        return [Outgoing(helper.address, request) for helper in chosen]

    def _suspect(self, name: str, now: float) -> None:
        entry = self.entries.get(name)
        if entry is None or entry.member.state is not wire.MemberState.ALIVE:
            return
        self._store(dataclasses.replace(entry.member, state=wire.MemberState.SUSPECT), now)

    def _expire_members(self, now: float) -> None:
        limit = SUSPICION_PERIODS * PROBE_PERIOD_SECONDS
        for entry in list(self.entries.values()):
            member = entry.member
            age = now - entry.changed_at
            if member.state is wire.MemberState.SUSPECT and age >= limit:
                self._store(dataclasses.replace(member, state=wire.MemberState.DEAD), now)
            elif member.state is wire.MemberState.DEAD and age >= DEAD_RETENTION_SECONDS:
                del self.entries[member.name]

    # Gossip

    def _gossip(self, about: str = "") -> wire.Gossip:
        """Return the gossip of the next message.

        Args:
          about: Name of the receiver. When it is suspect or dead here, its entry is included, so
            that it can refute that state.
        """
        members = [self.entries[name].member for name in self._next_member_updates()]
        entry = self.entries.get(about)
        if entry is not None and entry.member.state is not wire.MemberState.ALIVE:
            members.append(entry.member)
        quarantined = self._pop_most_pending(self.quarantine_transmissions, MAX_QUARANTINE_UPDATES)
        return wire.Gossip(self.own, self.config_version, tuple(members), tuple(quarantined))

    def _next_member_updates(self) -> list[str]:
        names = self._pop_most_pending(self.member_transmissions, MAX_MEMBER_UPDATES)
        return [name for name in names if name in self.entries]

    def _pop_most_pending(self, pending: collections.Counter, limit: int) -> list[str]:
        """Return the items with the most transmissions left, and count one transmission of each.

        Args:
          pending: Transmissions left by item; items that reach 0 are removed.
          limit: Most items to return.
        """
        names = [name for name, _ in pending.most_common(limit)]
        for name in names:
            pending[name] -= 1
            if pending[name] <= 0:
                del pending[name]
        return names

    def _transmission_count(self) -> int:
        return RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(len(self.entries) + 2)))

    def _merge_gossip(self, gossip: wire.Gossip, now: float) -> None:
        self._merge_member(gossip.sender, now)
        self.peer_config_versions[gossip.sender.address] = gossip.config_version
        for member in gossip.members:
            self._merge_member(member, now)
        self._merge_quarantined(gossip.condemned)

    def _merge_quarantined(self, fingerprints: tuple[str, ...]) -> None:
        for item in fingerprints:
            if item not in self.quarantined:
                self.quarantined[item] = None
                self.quarantine_transmissions[item] = self._transmission_count()
        while len(self.quarantined) > MAX_QUARANTINED:
            self.quarantined.popitem(last=False)

    def _merge_member(self, member: wire.Member, now: float) -> None:
        if member.name == self.own.name:
            self._refute(member)
            return
        entry = self.entries.get(member.name)
        if entry is None or _precedence(member) > _precedence(entry.member):
            self._store(member, now)

    def _refute(self, member: wire.Member) -> None:
        """Raise the own incarnation when gossip about this router would supersede its own state."""
        is_superseding = _precedence(member) > _precedence(self.own)
        if is_superseding and member != self.own:
            self._raise_incarnation(incarnation=member.incarnation)

    def _raise_incarnation(self, incarnation: int = 0, is_draining: bool | None = None) -> None:
        draining = self.own.is_draining if is_draining is None else is_draining
        number = min(max(self.own.incarnation, incarnation) + 1, wire.MAX_INCARNATION)
        self.own = dataclasses.replace(self.own, incarnation=number, is_draining=draining)

    def _store(self, member: wire.Member, now: float) -> None:
        old = self.entries.get(member.name)
        has_state_changed = old is None or old.member.state is not member.state
        changed_at = now if has_state_changed else old.changed_at
        self.entries[member.name] = Entry(member, changed_at)
        self.member_transmissions[member.name] = self._transmission_count()

    def _disseminate(self) -> list[Outgoing]:
        """Return pings that carry pending updates without waiting for the next probe period.

        They go to random members of this data centre and, from a relay, to the first relay of each
        other data centre.
        """
        local_members = [m for m in self.alive()[1:] if self._is_local(m)]
        targets = self.random.sample(local_members, min(GOSSIP_FANOUT, len(local_members)))
        if self.is_relay():
            remote_data_centres = sorted(
                {m.data_centre for m in self.alive() if not self._is_local(m)}
            )
            targets += [self.relays(data_centre)[0] for data_centre in remote_data_centres]
        return [
            Outgoing(target.address, wire.Ping(self._next_sequence(), self._gossip()))
            for target in targets
        ]

    def _next_sequence(self) -> int:
        self.sequence += 1
        return self.sequence


def _precedence(member: wire.Member) -> tuple[int, int]:
    return member.incarnation, int(member.state)


@functools.lru_cache(maxsize=10_000)
def _name_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _member_hash(member: wire.Member) -> bytes:
    return _name_hash(member.name)
