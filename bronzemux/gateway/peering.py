"""Gossip between gateways: status messages, rosters and rows of the store.

Relays send the rows to the gateways that do not read the store themselves.
"""

import functools
from collections.abc import Callable

from bronzemux import errors, logs, peers, records, supervisor
from bronzemux.gateway import (
    cache_index,
    cache_store_watcher,
    cluster_state,
    endpoints,
    forwarder,
    gossip,
    quarantine_gossip,
    relaying,
    routers,
    rows,
    settings,
    store_following,
    weights,
)

# A silent connection is replaced before the router behind it is considered dead.
KEEPALIVE_SECONDS = 1.0
# A newer table is requested from a peer when this router's own feed has not delivered it within
# this time.
MAX_LAG_SECONDS = 0.3
# Name under which status messages have the version of the configuration in the sender's replica.
CONFIGURATION_VERSION = "configuration"
# The interval of requests for a configuration that the store has lost doubles so often.
MAX_REQUEST_DOUBLINGS = 6
# A request is repeated after two status intervals without a reply.
REQUEST_RETRY_SECONDS = 0.5
# Updates are batched for at most this long: a message to many routers costs a relay as much CPU
# time as a request.
MIN_ANNOUNCE_INTERVAL_SECONDS = 0.1
# Interval of the replies to a router that gets no regular status messages. The replies show that
# router that its messages arrive, so that it can request the roster and find its relays.
REPLY_INTERVAL_SECONDS = 0.5
# Connections on which usage caps were exchanged are kept for this long.
USAGE_IDLE_SECONDS = 10.0


@records.record
class Frame:
    """An encoded message from another gateway."""

    content: bytes


@records.record
class AnnounceNow:
    """Event: send status messages before the next regular ones."""


@records.state
class TableLag:
    """A table of which a peer has a newer version.

    Attributes:
      version: Version that the peer has.
      noticed_at: Monotonic seconds at which the lag was first noticed.
      requested_at: Monotonic seconds of the last request for the table.
      request_count: Requests for this version.
    """

    version: int
    noticed_at: float
    requested_at: float = -1e9
    request_count: int = 0


def status_interval(table: routers.RouterTable, has_requests: bool, now: float) -> float:
    """Return the interval of a router's regular status messages in seconds.

    Args:
      table: Its membership table.
      has_requests: Whether it has requests at endpoints.
      now: Monotonic seconds.
    """
    if not table.is_reserve(now) or has_requests:
        return table.coordination.status_seconds
    return routers.RESERVE_STATUS_SECONDS


class Peering(supervisor.Task):
    """Task that exchanges status messages, rosters and rows with other gateways.

    Attributes:
      peers: Connections by peer address.
      table_lags: Tables of which a peer has a newer version, by name.
      prefixes: Updates about cached prefixes that have not been sent yet.
      quarantine_gossip: What is exchanged about requests that crash endpoints.
      suspects: Incarnations of suspected endpoints that have not been sent yet.
      watched_store: Returns the address of the cache store that this router watches, empty for
        none.
      roster_requested_at: Monotonic seconds of the last request for the roster of a router, by its
        name.
      replied_at: Monotonic seconds of the last request or reply to a router, by peer address.
      usage: What is exchanged about the usage caps of teams.
      usage_sent_at: Monotonic seconds of the last message about usage caps, by peer address.
      store_following: Whether this router follows the store itself.
      announced_at: Monotonic seconds at which status messages were last sent.
      reserve_announced_at: The same for messages to reserve routers.
      next_regular_at: Monotonic seconds at which the next regular status messages are due.

    Args:
      config: Settings of this gateway.
      gateway_forwarder: Forwarder whose loads and cache contents are exchanged.
      weights_tracker: Weights versions of the endpoints, which are exchanged.
      table: Known routers.
      connect: Returns a connection to the router at an address, None for `peers.Peer`.
    """

    def __init__(
        self,
        config: settings.GatewaySettings,
        gateway_forwarder: forwarder.Forwarder,
        weights_tracker: weights.WeightsTracker,
        table: routers.RouterTable,
        connect: Callable[[str], peers.Peer] | None = None,
    ):
        super().__init__("peering", gateway_forwarder.components.clock, routers.STATUS_SECONDS)
        self.settings = config
        self.forwarder = gateway_forwarder
        self.components = gateway_forwarder.components
        self.cluster_state: cluster_state.ClusterState = gateway_forwarder.components.cluster_state
        self.weights_tracker = weights_tracker
        self.table = table
        self.connect = connect or self._connect
        self.peers: dict[str, peers.Peer] = {}
        self.table_lags: dict[str, TableLag] = {}
        self.prefixes = relaying.Outbox()
        self.watched_store: Callable[[], str] = lambda: ""
        self.suspects = relaying.Outbox()
        self.roster_requested_at: dict[str, float] = {}
        self.replied_at: dict[str, float] = {}
        self.store_following = store_following.StoreFollowing(config, table, self.clock)
        self.started_at = self.clock.monotonic()
        self.repeat_filter = logs.RepeatFilter(self.clock)
        self.server: peers.PeerServer | None = None
        self.logged_names: frozenset[str] = frozenset()
        self.was_relay: bool | None = None
        self.quarantine_gossip = quarantine_gossip.QuarantineGossip(
            self.components.crashes, self.clock, self.request_announcement
        )
        gateway_forwarder.on_first_request = self._on_first_request
        self.usage = self.components.usage
        self.usage.send = self._send_usage
        self.usage_sent_at: dict[str, float] = {}
        self.announced_at = -1e9
        self.reserve_announced_at = -1e9
        self.next_regular_at = -1e9
        self.is_announcement_pending = False
        weights_tracker.on_update.append(self.request_announcement)
        gateway_forwarder.components.index.on_update.append(self.request_announcement)
        self.cluster_state.on_rows.append(self._on_rows)
        self.components.reachability.on_suspect.append(self._on_suspect)

    def run(self) -> None:
        """Accept connections, send status messages and handle received ones."""
        host, _, port = self.settings.peer_address.rpartition(":")
        self.server = peers.PeerServer(host, int(port), self._receive)
        self.server.start()
        try:
            super().run()
        finally:
            self.server.close()
            for peer in self.peers.values():
                peer.close()
            self.peers.clear()

    def request_announcement(self) -> None:
        """Request status messages before the next regular ones; repeated requests are coalesced."""
        if not self.is_announcement_pending:
            self.is_announcement_pending = True
            self.send(AnnounceNow())

    def _receive(self, content: bytes) -> None:
        self.components.meters.mesh_bytes.labels("received").inc(len(content))
        self.send(Frame(content))

    def cache_watcher_index(self) -> int | None:
        """Return this router's index among the watchers of cache stores, None if it is not one."""
        now = self.clock.monotonic()
        if not self.table.is_relay(now):
            return None
        other_relays = [
            r for r in self.table.heard_directly(now) if not self.table.is_relayed_to(r, now)
        ]
        index = sum(router.name < self.table.own.name for router in other_relays)
        return index if index < cache_store_watcher.MAX_WATCHERS else None

    def _on_first_request(self) -> None:
        """Announce a reserve router's first request at once, so that its relays inform it more."""
        now = self.clock.monotonic()
        if self.table.is_reserve(now):
            self.next_regular_at = now
            self.request_announcement()

    def _on_suspect(self, state: endpoints.EndpointState) -> None:
        self.suspects.add(state.endpoint.incarnation)
        self.request_announcement()

    def _on_rows(self, change: cluster_state.AppliedRows) -> None:
        """Send changed rows to the routers that get them from this one.

        A router that follows the store sends them to all its status targets, a relay that does not
        sends them to the routers that it relays to.
        """
        now = self.clock.monotonic()
        if self.table.current_topology(now).is_mesh:
            return
        is_follower = change.table in self.cluster_state.followed_tables
        targets = [
            router
            for router in self.table.status_targets(now)
            if is_follower or self.table.is_relayed_to(router, now)
        ]
        if not targets:
            return
        is_lapse_possible = self.cluster_state.is_lapse_possible()
        content = gossip.RowsChange(change.table, change.after, change.batch, is_lapse_possible)
        if change.batch.is_snapshot:
            content = gossip.RowsReply(change.table, change.batch, is_lapse_possible)
        message = gossip.encode(content)
        for router in targets:
            self._send(router.peer_address, message)

    # Sending

    def tick(self) -> None:
        """Send status messages: regular ones when they are due, otherwise those requested early."""
        now = self.clock.monotonic()
        is_regular = now >= self.next_regular_at
        if is_regular:
            interval = status_interval(self.table, bool(self.forwarder.in_flight), now)
            self.next_regular_at = now + interval
            self.table.remove_silent(now)
            self._record_members(now)
        self.next_tick = self.next_regular_at
        peers_only_until = self.started_at + store_following.PEERS_ONLY_SECONDS
        if now < peers_only_until:
            self.next_tick = min(self.next_tick, peers_only_until)
        self._announce(now, is_regular)
        self.store_following.update()
        self.usage.tick(now)

    def _record_members(self, now: float) -> None:
        self.table.alive(now)
        names = self.table.alive_names
        self.components.meters.routers.set(len(names) + 1)
        is_relay = self.table.is_relay(now)
        if names != self.logged_names or is_relay != self.was_relay:
            logs.event(
                "routers",
                joined=",".join(sorted(names - self.logged_names)),
                lost=",".join(sorted(self.logged_names - names)),
                count=len(names) + 1,
                relay=is_relay,
            )
            self.logged_names, self.was_relay = names, is_relay

    def _announce(self, now: float, is_regular: bool) -> None:
        """Send status messages.

        Args:
          now: Monotonic seconds.
          is_regular: Whether regular messages are due; otherwise reserve routers get none.
        """
        self.announced_at = now
        self.is_announcement_pending = False
        targets = self._audiences(now)
        if is_regular:
            self._close_idle_connections(targets, now)
        reserve = routers.Audience.RESERVE
        if is_regular and self._is_reserve_due(now):
            self.reserve_announced_at = now
        else:
            targets = {address: found for address, found in targets.items() if found != reserve}
        router = self.table.advance_sequence()
        for audience in routers.Audience:
            addresses = [address for address, found in targets.items() if found is audience]
            if not addresses:
                continue
            messages = [self._status(router, audience, now)]
            messages += self.quarantine_gossip.messages_for(router, audience, now, is_regular)
            for message in map(gossip.encode, messages):
                for address in addresses:
                    self._send(address, message)

    def _is_reserve_due(self, now: float) -> bool:
        """Return whether reserve routers get a message with the regular ones that are due.

        They get every second one, and all that contain crashed or suspected endpoints.
        """
        reserve = routers.Audience.RESERVE
        is_urgent = bool(self.suspects.queues[reserve]) or self.quarantine_gossip.has_updates(
            reserve
        )
        # Timers fire late by varying amounts, so that two intervals can be slightly too short.
        is_due = now - self.reserve_announced_at > routers.RESERVE_STATUS_SECONDS * 0.75
        return is_urgent or is_due

    def _audiences(self, now: float) -> dict[str, routers.Audience]:
        """Return the audience of each router that gets a status message, by its peer address."""
        targets = {
            r.peer_address: self.table.audience(r, now) for r in self.table.status_targets(now)
        }
        is_new = now - self.started_at < store_following.RELAY_TIMEOUT_SECONDS
        if is_new or not self.table.heard_directly(now):
            for seed in self.settings.seeds:
                targets.setdefault(seed, routers.Audience.FELLOW)
        targets.pop(self.settings.reachable_address, None)
        return targets

    def _close_idle_connections(self, targets, now: float) -> None:
        """Close connections to routers that get neither status messages nor replies."""
        recently_replied = {
            a for a, at in self.replied_at.items() if now - at < routers.FAILURE_TIMEOUT_SECONDS
        }
        recently_used = {a for a, at in self.usage_sent_at.items() if now - at < USAGE_IDLE_SECONDS}
        for address in set(self.peers) - set(targets) - recently_replied - recently_used:
            self.peers.pop(address).close()
            self.replied_at.pop(address, None)
            self.usage_sent_at.pop(address, None)

    def _send(self, address: str, message: bytes) -> None:
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = self.connect(address)
        peer.send(message)

    def _connect(self, address: str) -> peers.Peer:
        return peers.Peer(address, self.components.meters, KEEPALIVE_SECONDS)

    def _reply(self, router: gossip.Router, message, now: float) -> None:
        """Send a message to a router that need not be among the status targets."""
        self.replied_at[router.peer_address] = now
        self._send(router.peer_address, gossip.encode(message))

    def _send_usage(self, address: str, message) -> None:
        self.usage_sent_at[address] = self.clock.monotonic()
        self._send(address, gossip.encode(message))

    def _status(
        self, router: gossip.Router, audience: routers.Audience, now: float
    ) -> gossip.Status:
        roster = self.table.roster(audience, now)
        for item in self.components.index.take_updates():
            ready_in_ms = int((item.ready_at - now) * 1000)
            self.prefixes.add(gossip.PrefixUpdate(item.key, item.tokens, item.holder, ready_in_ms))
        return gossip.Status(
            router=router,
            scope=relaying.SCOPE_BY_AUDIENCE[audience].value,
            table_versions=self._table_versions(),
            is_following=self._announces_follower(audience),
            roster_checksum=routers.checksum(roster) if roster else 0,
            loads=relaying.loads_for(self.cluster_state.endpoints.states, audience, now),
            weights=self.weights_tracker.updates_for(audience),
            prefixes=self.prefixes.pop_all(audience),
            suspects=self.suspects.pop_all(audience),
            lease_version=self.weights_tracker.lease_version,
            weights_targets=tuple(
                (model_name, version, int((now - at) * 1000))
                for model_name, target in self.cluster_state.targets.items()
                for version, at in target.known_at.items()
            ),
            cache_store_epochs=self._cache_store_epochs(audience),
        )

    def _announces_follower(self, audience: routers.Audience) -> bool:
        """Return whether an audience can rely on this router for the rows of the store.

        A relay also states this to the routers that it relays to while it hears directly from
        another relay that follows the store.
        """
        if self.cluster_state.is_following():
            return True
        return relaying.has_full_scope(audience) and self.store_following.hears_follower()

    def _cache_store_epochs(self, audience: routers.Audience) -> tuple[tuple[str, int], ...]:
        """Return the epochs of the cache stores to report to an audience.

        A relay reports all known epochs to the routers it relays to; otherwise a router reports
        only the store that it watches itself.
        """
        known = self.components.index.epochs
        if self.table.is_relay(self.clock.monotonic()) and relaying.has_full_scope(audience):
            return tuple(known.items())
        watched = self.watched_store()
        return ((watched, known[watched]),) if watched in known else ()

    # Receiving

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message."""
        return super().handle(message)

    @handle.register
    def _handle_announce(self, message: AnnounceNow) -> None:
        now = self.clock.monotonic()
        self.next_tick = min(
            self.next_tick, max(now, self.announced_at + MIN_ANNOUNCE_INTERVAL_SECONDS)
        )

    @handle.register
    def _handle_frame(self, message: Frame) -> None:
        try:
            decoded = gossip.decode(message.content)
        except errors.BronzemuxError as error:
            self.repeat_filter.event("peer_message_rejected", "decode", cause=str(error))
            return
        try:
            self.handle(decoded)
        except Exception as error:  # noqa: BLE001 - the other messages are to be handled
            kind = type(decoded).__name__
            self.repeat_filter.event(
                "peer_message_failed",
                kind,
                "error",
                message_kind=kind,
                remedy="report the error",
                **logs.describe(error),
            )

    @handle.register
    def _handle_status(self, message: gossip.Status) -> None:
        now = self.clock.monotonic()
        name = message.router.name
        if name == self.table.own.name:
            return
        known = self.table.known.get(name)
        is_own_scope = message.scope == relaying.Scope.OWN.value
        has_requests = is_own_scope and any(load.requests for load in message.loads)
        self.table.record_status(message.router, now, has_requests)
        if known is None or known.router.is_ready != message.router.is_ready:
            self.request_announcement()
        self._compare_rosters(message, now)
        audiences = relaying.forward_audiences(message, self.table, now)
        relaying.apply_loads(self.cluster_state.endpoints.states, message, now)
        self.weights_tracker.apply_updates(message.weights, audiences)
        self.weights_tracker.record_lease_holder(name, message.lease_version, now)
        for model_name, version, milliseconds in message.weights_targets:
            self.cluster_state.record_target(model_name, version, max(0, milliseconds) / 1000)
        for item in message.prefixes:
            self._apply_prefix(item, now)
            self.prefixes.add(item, audiences)
        self.quarantine_gossip.apply_old_crashes(message.crashes)
        for incarnation in message.suspects:
            state = self.cluster_state.endpoints.states.get(incarnation.rpartition("/")[0])
            if state is not None and state.endpoint.incarnation == incarnation:
                self.components.reachability.suspect(state)
            self.suspects.add(incarnation, audiences)
        if audiences and (message.prefixes or message.suspects):
            self.request_announcement()
        for address, epoch in message.cache_store_epochs:
            if address != self.watched_store():
                self.components.index.record_store_epoch(address, epoch)
        if message.is_following:
            self.store_following.record_follower(message)
        self._compare_tables(message, now)

    @handle.register
    def _handle_quarantine_update(self, message: gossip.QuarantineUpdate) -> None:
        if message.router.name == self.table.own.name:
            return
        now = self.clock.monotonic()
        audiences = relaying.forward_audiences(message, self.table, now)
        self.quarantine_gossip.apply(message, audiences, now)

    @handle.register
    def _handle_usage_request(self, message: gossip.UsageRequest) -> None:
        self.usage.answer(message)

    @handle.register
    def _handle_usage_grant(self, message: gossip.UsageGrant) -> None:
        self.usage.apply(message)

    def _compare_rosters(self, message: gossip.Status, now: float) -> None:
        """Request a roster that changed, and reply to a router that gets no regular messages."""
        router = message.router
        is_changed = not self.table.has_current_roster(router.name, message.roster_checksum)
        if (
            is_changed
            and now - self.roster_requested_at.get(router.name, -1e9) >= REQUEST_RETRY_SECONDS
        ):
            self.roster_requested_at[router.name] = now
            self._reply(router, gossip.RosterRequest(self.table.own), now)
        is_due = now - self.replied_at.get(router.peer_address, -1e9) >= REPLY_INTERVAL_SECONDS
        if is_due and not self._is_target(router, now):
            self._reply(router, self._minimal_status(now), now)

    def _is_target(self, router: gossip.Router, now: float) -> bool:
        return any(item.name == router.name for item in self.table.status_targets(now))

    def _minimal_status(self, now: float) -> gossip.Status:
        """Return a status without updates, for a router that is not a status target.

        That router only needs it to request the roster.
        """
        return gossip.Status(
            router=self.table.advance_sequence(),
            scope=relaying.Scope.OWN.value,
            table_versions=self._table_versions(),
            is_following=self.cluster_state.is_following(),
            roster_checksum=routers.checksum(self.table.roster(routers.Audience.LOCAL, now)),
        )

    def _table_versions(self) -> dict[str, int]:
        versions = {n: item.changed_version for n, item in self.cluster_state.replicas.items()}
        return versions | {CONFIGURATION_VERSION: self.cluster_state.replicated_configuration}

    @handle.register
    def _handle_roster_request(self, message: gossip.RosterRequest) -> None:
        now = self.clock.monotonic()
        audience, kind = routers.Audience.LOCAL, routers.ListKind.HINT
        if self._is_target(message.router, now):
            audience = self.table.audience(message.router, now)
            is_local = self.table.is_relayed_to(message.router, now)
            kind = routers.ListKind.VIEW if is_local else routers.ListKind.HEARD
        found = tuple(self.table.roster(audience, now))
        reply = gossip.RosterReply(self.table.own.name, kind.value, found)
        self._reply(message.router, reply, now)

    @handle.register
    def _handle_roster_reply(self, message: gossip.RosterReply) -> None:
        kind = routers.ListKind(message.kind)
        self.table.apply_roster(message.sender, message.routers, kind, self.clock.monotonic())

    def _apply_prefix(self, item: gossip.PrefixUpdate, now: float) -> None:
        config = self.cluster_state.configuration
        if config is None or len(item.key) != cache_index.KEY_BYTES or item.tokens < 0:
            return
        store = next((s for s in config.services.values() if s.cache_store == item.holder), None)
        capacity = (
            store.cache_tokens if store is not None else self._cache_capacity(item.holder, config)
        )
        usable_tokens = int(capacity * cache_index.CACHE_FRACTION)
        if usable_tokens:
            ready_at = now + item.ready_in_ms / 1000
            record = cache_index.PrefixRecord(item.key, item.tokens, item.holder, ready_at)
            self.components.index.add(record, usable_tokens, is_own=False)

    def _cache_capacity(self, incarnation: str, config) -> int:
        state = self.cluster_state.endpoints.states.get(incarnation.rpartition("/")[0])
        service = config.services.get(state.endpoint.service) if state is not None else None
        return service.engine.cache_tokens if service is not None and service.engine else 0

    def _compare_tables(self, message: gossip.Status, now: float) -> None:
        self._compare_configurations(message, now)
        for name, version in message.table_versions.items():
            replica = self.cluster_state.replicas.get(name)
            if replica is None:
                continue
            if version <= replica.changed_version:
                lag = self.table_lags.get(name)
                if lag is not None and lag.version <= replica.changed_version:
                    del self.table_lags[name]
                continue
            lag = self.table_lags.setdefault(name, TableLag(version, now))
            is_due = (
                now - lag.noticed_at >= MAX_LAG_SECONDS or self.cluster_state.is_store_unavailable()
            )
            if (is_due or replica.version < 0) and now - lag.requested_at >= REQUEST_RETRY_SECONDS:
                lag.requested_at = now
                self._reply(
                    message.router, gossip.RowsRequest(name, self.settings.reachable_address), now
                )

    def _compare_configurations(self, message: gossip.Status, now: float) -> None:
        """Request the configuration of a peer that still has a newer one than a restored store."""
        name = self.cluster_state.documents.operator_table
        version = message.table_versions.get(CONFIGURATION_VERSION, 0)
        is_table_newer = (
            message.table_versions.get(name, -1) > self.cluster_state.replicas[name].changed_version
        )
        if is_table_newer or version <= self.cluster_state.replicated_configuration:
            return
        lag = self.table_lags.get(CONFIGURATION_VERSION)
        if lag is None or lag.version < version:
            lag = self.table_lags[CONFIGURATION_VERSION] = TableLag(version, now)
        is_due = now - lag.noticed_at >= MAX_LAG_SECONDS
        doublings = min(lag.request_count, MAX_REQUEST_DOUBLINGS)
        is_repeat_due = now - lag.requested_at >= REQUEST_RETRY_SECONDS * 2**doublings
        if is_due and is_repeat_due:
            lag.requested_at = now
            lag.request_count += 1
            self._reply(
                message.router, gossip.RowsRequest(name, self.settings.reachable_address), now
            )

    @handle.register
    def _handle_rows_request(self, message: gossip.RowsRequest) -> None:
        replica = self.cluster_state.replicas.get(message.table)
        if replica is not None and replica.version >= 0:
            reply = gossip.RowsReply(
                message.table, replica.snapshot(), self.cluster_state.is_lapse_possible()
            )
            self.replied_at[message.reply_to] = self.clock.monotonic()
            self._send(message.reply_to, gossip.encode(reply))

    @handle.register
    def _handle_rows_reply(self, message: gossip.RowsReply) -> None:
        if message.table not in self.cluster_state.replicas or not message.batch.is_snapshot:
            return
        batch = message.batch
        snapshot_batch = rows.Batch(batch.rows, batch.version, is_snapshot=True)
        self.cluster_state.apply_rows(
            message.table, snapshot_batch, "peer", message.is_lapse_possible
        )
        lag = self.table_lags.get(message.table)
        if lag is not None and lag.version <= batch.version:
            self.cluster_state.replicas[message.table].record_complete(lag.version)

    @handle.register
    def _handle_rows_change(self, message: gossip.RowsChange) -> None:
        replica = self.cluster_state.replicas.get(message.table)
        if replica is None or message.batch.is_snapshot or replica.changed_version < message.after:
            # The next status message reveals the missing changes, and all rows are requested then.
            return
        self.cluster_state.apply_rows(
            message.table, message.batch, "relay", message.is_lapse_possible
        )
