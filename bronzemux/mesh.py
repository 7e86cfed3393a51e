"""Task that gossips with the other routers over websockets."""

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
CONFIG_REQUEST_INTERVAL_SECONDS = 1.0
RETAINED_HEADS = 8


@dataclasses.dataclass(frozen=True)
class Frame:
    """A message from another router: its authentication code, then the encoded message."""

    content: bytes


@dataclasses.dataclass(frozen=True)
class ConfigApplied:
    """Event: a configuration head came into force at this router."""

    head: config_store.Head


@dataclasses.dataclass(frozen=True)
class RequestsQuarantined:
    """Event: this router quarantined fingerprints of requests that crash endpoints."""

    fingerprints: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Drain:
    """Event: this router starts to drain and accepts no new callers."""


@dataclasses.dataclass(frozen=True)
class VmListChanged:
    """Event: the VM list changed.

    Attributes:
      vms: The new list.
      changes: Changes to send to the other routers of the data centre, None for none.
    """

    vms: tuple[vms.Vm, ...]
    changes: vms.Changes | None = None


class Mesh(supervisor.Task):
    """Task that exchanges state with the other routers.

    The state is the membership, the configuration, fingerprints of quarantined requests, changes
    of the VM list and the shares of teams' limits.

    Args:
      settings: Settings of the router.
      clock: Source of time.
      meters: Metrics of the router.
      dispatcher: Receives quarantined fingerprints, limit shares and the number of routers.
      offer_head: Called with each configuration head received from another router.
      on_members: Called with all members after each tick.
      on_vms: Called with changes of the VM list received from a relay.
    """

    def __init__(
        self, settings, clock: clocks.Clock, meters, dispatcher, offer_head, on_members, on_vms
    ):
        super().__init__("mesh", clock, TICK_SECONDS)
        self.settings = settings
        self.meters: metrics.Metrics = meters
        self.dispatcher = dispatcher
        self.offer_head = offer_head
        self.on_members = on_members
        self.on_vms = on_vms
        self.peers: dict[str, peers.Peer] = {}
        self.heads: dict[int, bytes] = {}
        self.head_version = 0
        self.needs_whole_config = False
        self.share_allocator = shares.ShareAllocator()
        self.granted_shares = shares.GrantedShares()
        self.reported_requests: dict[str, float] = {}
        self.next_report = 0.0
        self.reported_at = 0.0
        self.config_requested_at: dict[str, float] = {}
        self.repeats = logs.RepeatFilter(clock)
        self.port = settings.peer_port
        self.server: peers.PeerServer | None = None
        self._listen()
        address = settings.advertised_peer_address or f"{settings.host}:{self.port}"
        boot = int(clock.now().timestamp() * 1000)
        own = wire.Member(settings.name, settings.data_centre, address, boot, boot=boot)
        self.membership = membership.Membership(own, settings.name)
        self.configured_peers = {f"seed-{a}": ("", a) for a in settings.peers if a != address}
        self.membership.set_seeds(self.configured_peers)

    def _listen(self) -> None:
        """Open the listening socket; after a restart of the task, on the same port as before."""
        self.server = peers.PeerServer(self.settings.host, self.port, self._receive)
        self.port = self.server.port

    @property
    def identity(self) -> str:
        """Return the identity of this process in claims and leases, name@boot."""
        return f"{self.settings.name}@{self.membership.own.boot}"

    def is_holder_gone(self, holder: str) -> bool:
        """Return whether the router process with an identity is known to have ended.

        Args:
          holder: `identity` of a router process.
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
        """Return the IP address and port at which other routers reach this one."""
        return self.membership.own.address

    def run(self) -> None:
        """Accept connections and handle messages until `supervisor.Stop` arrives."""
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
        """Put a frame from another router into the mailbox."""
        self.meters.mesh_bytes.labels("received").inc(len(frame))
        self.send(Frame(frame))

    # Message handlers

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message from this router or from another one."""
        return super().handle(message)

    @handle.register
    def _handle_frame(self, message: Frame) -> None:
        keys = tuple(key.encode() for key in self.settings.mesh_keys)
        try:
            decoded = wire.decode(signing.verify(message.content, keys))
        except (signing.SignatureError, wire.WireError) as error:
            self.repeats.event("peer_message_refused", "decode", cause=str(error))
            return
        try:
            self.handle(decoded)
        except Exception as error:  # noqa: BLE001 - the other messages are to be handled
            kind = type(decoded).__name__
            self.repeats.event(
                "peer_message_failed",
                kind,
                "error",
                message_kind=kind,
                remedy="report the error",
                **logs.describe(error),
            )

    @handle.register(wire.Ping)
    @handle.register(wire.Ack)
    @handle.register(wire.PingRequest)
    @handle.register(wire.SyncRequest)
    @handle.register(wire.Sync)
    def _handle_gossip(self, message) -> None:
        self._send_all(self.membership.receive(message, self.clock.monotonic()))
        sender = message.gossip.sender
        if message.gossip.config_version > self.head_version:
            self._request_config(sender.address)
        if message.gossip.condemned:
            self.dispatcher.send(messages.QuarantinedFingerprints(message.gossip.condemned))

    def _request_config(self, address: str) -> None:
        now = self.clock.monotonic()
        if (
            now - self.config_requested_at.get(address, -CONFIG_REQUEST_INTERVAL_SECONDS)
            < CONFIG_REQUEST_INTERVAL_SECONDS
        ):
            return
        self.config_requested_at[address] = now
        have = 0 if self.needs_whole_config else self.head_version
        self._send(address, wire.ConfigRequest(self.membership.own, have))

    @handle.register
    def _handle_config_request(self, message: wire.ConfigRequest) -> None:
        if message.have >= self.head_version:
            return
        newest = self.heads[self.head_version]
        base = self.heads.get(message.have)
        if base is None:
            self._send(message.sender.address, wire.ConfigWhole(newest))
        else:
            delta = config_delta.diff(message.have, base, newest)
            self._send(message.sender.address, delta)

    @handle.register
    def _handle_config_whole(self, message: wire.ConfigWhole) -> None:
        self._offer_encoded_head(message.head)

    @handle.register
    def _handle_config_delta(self, message: wire.ConfigDelta) -> None:
        base = self.heads.get(message.base)
        try:
            if base is None:
                raise config_delta.DeltaError(
                    "the base version of the delta is unknown", "request the whole configuration"
                )
            self._offer_encoded_head(config_delta.apply(message, base))
        except config_delta.DeltaError as error:
            logs.event("config_delta_refused", "warning", cause=error.message)
            self.needs_whole_config = True

    def _offer_encoded_head(self, content: bytes) -> None:
        try:
            self.offer_head(config_store.decode(content))
        except errors.HeadError as error:
            self.repeats.event("config_refused", "decode", cause=str(error))

    @handle.register
    def _handle_config_applied(self, message: ConfigApplied) -> None:
        if message.head.version <= self.head_version:
            return
        self.head_version = message.head.version
        self.needs_whole_config = False
        self.heads[self.head_version] = config_store.encode(message.head)
        for version in sorted(self.heads)[:-RETAINED_HEADS]:
            del self.heads[version]
        self._send_all(self.membership.set_config_version(self.head_version))

    @handle.register
    def _handle_quarantined(self, message: RequestsQuarantined) -> None:
        self._send_all(self.membership.quarantine(message.fingerprints))

    @handle.register
    def _handle_drain(self, message: Drain) -> None:
        self._send_all(self.membership.drain())

    @handle.register
    def _handle_vm_list_changed(self, message: VmListChanged) -> None:
        routers = {
            vm.name: (vm.data_centre, vm.peer_address)
            for vm in message.vms
            if vm.role == "router" and vm.peer_address and not vm.is_leaving
        }
        self.membership.set_seeds(self._unknown_configured_peers() | routers)
        if message.changes is not None:
            self._send_to_data_centre(wire.VmChanges(message.changes.listed, message.changes.gone))

    def _send_to_data_centre(self, message: wire.VmChanges) -> None:
        """Send a message to the other routers of this data centre."""
        own = self.membership.own
        for member in self.membership.alive():
            if member.data_centre == own.data_centre and member.name != own.name:
                self._send(member.address, message)

    @handle.register
    def _handle_vm_changes(self, message: wire.VmChanges) -> None:
        self.on_vms(vms.Changes(message.listed, message.gone))

    def _unknown_configured_peers(self) -> dict[str, tuple[str, str]]:
        """Return the configured peers whose address is not that of a known member."""
        known = {member.address for member in self.membership.members()}
        return {
            n: location for n, location in self.configured_peers.items() if location[1] not in known
        }

    @handle.register
    def _handle_demand(self, message: wire.Demand) -> None:
        routers = len(self.membership.alive())
        grant = self.share_allocator.allocate(message, routers, self.clock.monotonic())
        self._send(message.sender.address, grant)

    @handle.register
    def _handle_grant(self, message: wire.Grant) -> None:
        self.granted_shares.store(message, self.clock.monotonic())

    # Periodic work

    def tick(self) -> None:
        """Probe members, report demand to the owners of teams and pass on the list of members."""
        now = self.clock.monotonic()
        self._send_all(self.membership.tick(now))
        if now >= self.next_report:
            self.next_report = now + shares.REPORT_INTERVAL_SECONDS
            self._report_demand(now)
            self._close_dead_peers()
        self.on_members(self.membership.members())

    def _report_demand(self, now: float) -> None:
        alive = self.membership.alive()
        default = 1.0 / len(alive)
        self.dispatcher.send(messages.LimitShares(default, self.granted_shares.valid_shares(now)))
        self.dispatcher.send(messages.RouterCount(len(alive)))
        for address, teams in shares.group_by_owner(self._request_rates(now), alive).items():
            demand = wire.Demand(self.membership.own, tuple(teams))
            if address == self.address:
                self.granted_shares.store(
                    self.share_allocator.allocate(demand, len(alive), now), now
                )
            else:
                self._send(address, demand)

    def _request_rates(self, now: float) -> dict[str, float]:
        """Return the requests per second of each team since the last report.

        Returns:
          Rate by team, empty when the dispatcher does not reply.
        """
        try:
            status = self.dispatcher.call(messages.GetStatus(), timeout=1.0)
        except errors.UnavailableError:
            return {}
        elapsed = max(0.001, now - self.reported_at)
        self.reported_at = now
        used = dict(status.team_requests)
        rates = {
            team: (n - self.reported_requests.get(team, 0.0)) / elapsed for team, n in used.items()
        }
        self.reported_requests = used
        return rates

    def _close_dead_peers(self) -> None:
        """Close the connections to dead members."""
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
