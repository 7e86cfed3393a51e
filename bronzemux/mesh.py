"""Task that connects a router with the others over websockets."""

import dataclasses
import functools

from bronzemux import clock as clocks
from bronzemux import (
    config_delta,
    config_store,
    errors,
    logs,
    membership,
    messages,
    metrics,
    peers,
    shares,
    signing,
    supervisor,
    vms,
    wire,
)

TICK_SECONDS = 0.1
ASK_SECONDS = 1.0
KEPT_HEADS = 8


@dataclasses.dataclass(frozen=True)
class Frame:
    """A sealed message from another router."""

    content: bytes


@dataclasses.dataclass(frozen=True)
class ConfigApplied:
    """A configuration head came into force here."""

    head: config_store.Head


@dataclasses.dataclass(frozen=True)
class RequestsQuarantined:
    """Fingerprints were condemned here."""

    fingerprints: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Drain:
    """This router takes no new callers."""


@dataclasses.dataclass(frozen=True)
class VmListChanged:
    """The VM list changed.

    Attributes:
      vms: The list.
      changes: What is to be passed on in the data centre, None for nothing.
    """

    vms: tuple[vms.Vm, ...]
    changes: vms.Changes | None = None


class Mesh(supervisor.Task):
    """Membership, spread of configuration, condemned requests and shares of limits.

    Args:
      settings: Settings of the router.
      clock: Source of time.
      meters: Metrics of the router.
      target: Dispatcher that gets condemned requests and shares.
      offer: Called with configuration heads of others.
      on_members: Called with the members after each tick.
      on_vms: Called with changes of the VM list that a relay passed on.
    """

    def __init__(self, settings, clock: clocks.Clock, meters, target, offer, on_members, on_vms):
        super().__init__("mesh", clock, TICK_SECONDS)
        self.settings = settings
        self.meters: metrics.Metrics = meters
        self.target = target
        self.offer = offer
        self.on_members = on_members
        self.on_vms = on_vms
        self.peers: dict[str, peers.Peer] = {}
        self.heads: dict[int, bytes] = {}
        self.head_version = 0
        self.needs_whole = False
        self.keeper = shares.ShareAllocator()
        self.holder = shares.ShareHolder()
        self.used: dict[str, float] = {}
        self.next_report = 0.0
        self.reported_at = 0.0
        self.asked: dict[str, float] = {}
        self.port = settings.peer_port
        self.server: peers.PeerServer | None = None
        self._listen()
        address = settings.advertised_peer_address or f"{settings.host}:{self.port}"
        boot = int(clock.now().timestamp() * 1000)
        own = wire.Member(settings.name, settings.data_centre, address, boot, boot=boot)
        self.membership = membership.Membership(own, settings.name)
        self.configured = {f"seed-{a}": ("", a) for a in settings.peers if a != address}
        self.membership.set_seeds(self.configured)

    def _listen(self) -> None:
        """Open the listening socket; the port stays the same when the task restarts."""
        self.server = peers.PeerServer(self.settings.host, self.port, self._receive)
        self.port = self.server.port

    @property
    def identity(self) -> str:
        """Return the identity of this process, for claims and leases."""
        return f"{self.settings.name}@{self.membership.own.boot}"

    def is_holder_gone(self, holder: str) -> bool:
        """Return whether the process of an identity is known to have ended.

        Args:
          holder: `identity` of some router.
        """
        name, _, boot = holder.rpartition("@")
        if holder == self.identity:
            return False
        if name == self.settings.name:
            return True
        entry = self.membership.entries.get(name)
        if entry is None:
            return False
        return entry.member.state is wire.MemberState.DEAD or str(entry.member.boot) != boot

    @property
    def address(self) -> str:
        """Return IP number and port for other routers."""
        return self.membership.own.address

    def run(self) -> None:
        """Accept connections and handle messages."""
        if self.server is None:
            self._listen()
        self.server.start()
        try:
            super().run()
        finally:
            self._close()

    def _close(self) -> None:
        self.server.close()
        self.server = None
        for peer in self.peers.values():
            peer.close()
        self.peers.clear()

    def _receive(self, frame: bytes) -> None:
        """Queue a frame of another router."""
        self.meters.mesh_bytes.labels("received").inc(len(frame))
        self.send(Frame(frame))

    # Messages

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message of this router or of another one."""
        return super().handle(message)

    @handle.register
    def _frame(self, message: Frame) -> None:
        keys = tuple(key.encode() for key in self.settings.mesh_keys)
        try:
            decoded = wire.decode(signing.verify(message.content, keys))
        except (signing.SignatureError, wire.WireError) as error:
            logs.event("peer_message_refused", "warning", cause=error.message)
            return
        self.handle(decoded)

    @handle.register(wire.Ping)
    @handle.register(wire.Ack)
    @handle.register(wire.PingRequest)
    @handle.register(wire.SyncRequest)
    @handle.register(wire.Sync)
    def _member_message(self, message) -> None:
        self._send_all(self.membership.receive(message, self.clock.monotonic()))
        sender = message.gossip.sender
        if message.gossip.config_version > self.head_version:
            self._ask_config(sender.address)
        if message.gossip.condemned:
            self.target.send(messages.Condemned(message.gossip.condemned))

    def _ask_config(self, address: str) -> None:
        now = self.clock.monotonic()
        if now - self.asked.get(address, -ASK_SECONDS) < ASK_SECONDS:
            return
        self.asked[address] = now
        have = 0 if self.needs_whole else self.head_version
        self._send(address, wire.ConfigRequest(self.membership.own, have))

    @handle.register
    def _config_request(self, message: wire.ConfigRequest) -> None:
        if message.have >= self.head_version:
            return
        newest = self.heads[self.head_version]
        known = self.heads.get(message.have)
        if known is None:
            self._send(message.sender.address, wire.ConfigWhole(newest))
        else:
            delta = config_delta.diff(message.have, known, newest)
            self._send(message.sender.address, delta)

    @handle.register
    def _config_whole(self, message: wire.ConfigWhole) -> None:
        self._offer(message.head)

    @handle.register
    def _config_delta(self, message: wire.ConfigDelta) -> None:
        base = self.heads.get(message.base)
        try:
            if base is None:
                raise config_delta.DeltaError("the base is unknown", "ask for the whole")
            self._offer(config_delta.apply(message, base))
        except config_delta.DeltaError as error:
            logs.event("config_delta_refused", "warning", cause=error.message)
            self.needs_whole = True

    def _offer(self, content: bytes) -> None:
        try:
            self.offer(config_store.decode(content))
        except errors.HeadError as error:
            logs.event("config_refused", "warning", cause=error.message)

    @handle.register
    def _publish(self, message: ConfigApplied) -> None:
        if message.head.version <= self.head_version:
            return
        self.head_version = message.head.version
        self.needs_whole = False
        self.heads[self.head_version] = config_store.encode(message.head)
        for version in sorted(self.heads)[:-KEPT_HEADS]:
            del self.heads[version]
        self._send_all(self.membership.set_config_version(self.head_version))

    @handle.register
    def _condemn(self, message: RequestsQuarantined) -> None:
        self._send_all(self.membership.condemn(message.fingerprints))

    @handle.register
    def _drain(self, message: Drain) -> None:
        self._send_all(self.membership.drain())

    @handle.register
    def _listed(self, message: VmListChanged) -> None:
        routers = {
            vm.name: (vm.data_centre, vm.peer_address)
            for vm in message.vms
            if vm.role == "router" and vm.peer_address and not vm.is_leaving
        }
        self.membership.set_seeds(self._without_known_addresses() | routers)
        if message.changes is not None:
            self._spread(wire.VmChanges(message.changes.listed, message.changes.gone))

    def _spread(self, message: wire.VmChanges) -> None:
        """Send a message to the other routers of this data centre."""
        own = self.membership.own
        for member in self.membership.alive():
            if member.data_centre == own.data_centre and member.name != own.name:
                self._send(member.address, message)

    @handle.register
    def _vm_changes(self, message: wire.VmChanges) -> None:
        self.on_vms(vms.Changes(message.listed, message.gone))

    def _without_known_addresses(self) -> dict[str, tuple[str, str]]:
        """Return the configured peers that no member has as its address."""
        known = {member.address for member in self.membership.members()}
        return {n: place for n, place in self.configured.items() if place[1] not in known}

    @handle.register
    def _demand(self, message: wire.Demand) -> None:
        routers = len(self.membership.alive())
        grant = self.keeper.allocate(message, routers, self.clock.monotonic())
        self._send(message.sender.address, grant)

    @handle.register
    def _grant(self, message: wire.Grant) -> None:
        self.holder.take(message, self.clock.monotonic())

    # Periodic work

    def tick(self) -> None:
        """Probe members, report demand and pass the state on."""
        now = self.clock.monotonic()
        self._send_all(self.membership.tick(now))
        if now >= self.next_report:
            self.next_report = now + shares.REPORT_SECONDS
            self._report_demand(now)
            self._drop_peers()
        self.on_members(self.membership.members())

    def _report_demand(self, now: float) -> None:
        alive = self.membership.alive()
        default = 1.0 / len(alive)
        self.target.send(messages.LimitShares(default, self.holder.valid(now)))
        self.target.send(messages.PeerCount(len(alive)))
        for address, teams in shares.group_by_home(self._rates(now), alive).items():
            demand = wire.Demand(self.membership.own, tuple(teams))
            if address == self.address:
                self.holder.take(self.keeper.allocate(demand, len(alive), now), now)
            else:
                self._send(address, demand)

    def _rates(self, now: float) -> dict[str, float]:
        """Return the requests a second of each team since the last report."""
        try:
            status = self.target.call(messages.Describe(), timeout=1.0)
        except errors.UnavailableError:
            return {}
        elapsed = max(0.001, now - self.reported_at)
        self.reported_at = now
        used = dict(status.team_requests)
        rates = {team: (n - self.used.get(team, 0.0)) / elapsed for team, n in used.items()}
        self.used = used
        return rates

    def _drop_peers(self) -> None:
        """End connections to members that are dead."""
        dead = {
            member.address
            for member in self.membership.members()
            if member.state is wire.MemberState.DEAD
        }
        for address in dead & set(self.peers):
            self.peers.pop(address).close()

    # Sending

    def _send_all(self, outgoing: list[membership.Outgoing]) -> None:
        for item in outgoing:
            self._send(item.address, item.message)

    def _send(self, address: str, message) -> None:
        if address not in self.peers:
            self.peers[address] = peers.Peer(address, self.meters)
        key = self.settings.mesh_keys[0].encode()
        self.peers[address].send(signing.sign(wire.encode(message), key))
