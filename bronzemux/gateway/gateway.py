"""The gateway process: assembly of its components, start-up and graceful shutdown."""

import dataclasses
import zlib

import gevent
import gevent.event

from bronzemux import clock as clocks
from bronzemux import errors, lease, logs, quarantine, records, supervisor, table
from bronzemux.gateway import (
    admission,
    budget,
    cache_index,
    cache_store_watcher,
    channels,
    cluster_state,
    connection_limit,
    continuation,
    crash_attribution,
    directory,
    endpoint_notices,
    endpoints,
    feed,
    forwarder,
    gossip,
    ingress,
    management_server,
    meters,
    model,
    orders,
    peering,
    reachability,
    router_ranking,
    routers,
    rows,
    settings,
    software_history,
    stream_origins,
    usage_gossip,
    verdict_store,
    waiting,
    weights,
)
from bronzemux.gateway import job as jobs

ROUTER_KEY_PREFIX = "router/"
# Most rows in one response of the store.
MAX_ROUTER_ROWS = 500
# Short compared with `cluster_state.REMOVAL_DELAY_SECONDS` (1.8 s), after which endpoints whose
# entry expired are removed.
HOUSEKEEPING_SECONDS = 0.5
# Interval of the look-up of the routers in the store, which finds those that gossip does not reach.
ROUTER_LOOKUP_SECONDS = 20.0
# Interval at which a router checks whether it has to register or to look up others.
REGISTRATION_SECONDS = 0.5
REGISTRATION_RETRY_SECONDS = 1.0
# Endpoint incarnations that a request may crash before it is quarantined; the deployment tolerates
# three.
QUARANTINE_CRASH_COUNT = 3
# Fraction of the shutdown during which new connections are accepted, because callers use a
# directory response for up to three times its lifetime.
SHUTDOWN_ACCEPT_FRACTION = 0.6
# After so long without a request, callers are assumed to have switched to other routers.
IDLE_BEFORE_CLOSE_SECONDS = 1.0
# Reserved before SIGKILL for answering the requests still open, stopping the tasks and exiting.
SHUTDOWN_MARGIN_SECONDS = 0.4
# Part of the margin in which the answers are sent.
SHUTDOWN_ANSWER_SECONDS = 0.2
# Time after the start of a shutdown from which on only requests whose deadline is before its end
# are sent to endpoints: callers have then had twice the lifetime of a directory response to switch
# routers. At most the given fraction of a short shutdown.
SHUTDOWN_ADMIT_ALL_SECONDS = 2 * directory.TTL_SECONDS - 0.2
SHUTDOWN_ADMIT_ALL_FRACTION = 0.35
# Short compared with the duration of a shutdown, which is seconds.
SHUTDOWN_POLL_SECONDS = 0.05


@records.record
class Platform:
    """Interfaces to the platform that a gateway runs on.

    Attributes:
      protocol: HTTP conventions of callers and endpoints.
      documents: Decoders of the documents in the store.
      directory: Wire format of the directory.
      feeds: Source of the rows of each replicated table, by table name.
      table: The gateway's own table.
      endpoint_control: Client that sends orders to endpoints and reads their status reports.
      cache_store_client: Client of cache stores.
    """

    protocol: model.Protocol
    documents: cluster_state.DocumentDecoder
    directory: directory.DirectoryFormat
    feeds: dict[str, rows.RowSource]
    table: table.TableService
    endpoint_control: orders.EndpointControl
    cache_store_client: cache_store_watcher.CacheStoreClient


class Housekeeping(supervisor.Task):
    """Run periodic work that belongs to no other task."""

    def __init__(self, gateway: "Gateway"):
        super().__init__("housekeeping", gateway.clock, HOUSEKEEPING_SECONDS)
        self.gateway = gateway

    def tick(self) -> None:
        """Drop expired state and set the gauges."""
        self.gateway.run_housekeeping()


class Registration(supervisor.Task):
    """Register this router in the store and look up the other routers there.

    Attributes:
      registered_era: Era of the store in which this router registered last, None for never. A store
        that was restored from an older copy since then may have lost the row.
    """

    def __init__(self, gateway: "Gateway"):
        super().__init__("registration", gateway.clock, REGISTRATION_SECONDS)
        self.gateway = gateway
        self.registered_era: int | None = None
        self.next_lookup_at = 0.0
        self.retry_at = 0.0

    def is_registered(self) -> bool:
        """Return whether this router registered in the current era of the store."""
        return self.registered_era == self.gateway.platform.table.era

    def tick(self) -> None:
        """Register this router and look up the others.

        When there are many routers, only relays register: new routers find the relays first, which
        then announce the other routers by gossip. Only those that follow the store look up others.
        """
        now = self.clock.monotonic()
        if now < self.retry_at:
            return
        is_follower = self.gateway.peering.store_following.is_needed()
        try:
            if not self.is_registered() and (
                is_follower or self.gateway.routers.is_proven_relay(now)
            ):
                self._register()
            if is_follower and now >= self.next_lookup_at:
                self._look_up_routers()
                self.next_lookup_at = now + ROUTER_LOOKUP_SECONDS
        except errors.PlatformError as error:
            logs.event("registration_failed", "warning", cause=str(error))
            self.retry_at = now + REGISTRATION_RETRY_SECONDS

    def _register(self) -> None:
        """Write this router's row; needs only one call when the row does not exist yet."""
        own = self.gateway.routers.own
        key = ROUTER_KEY_PREFIX + own.name
        value = gossip.encode_router(own)
        service = self.gateway.platform.table
        era = service.era
        try:
            service.transact([table.Write(key, table.ABSENT, value)])
        except errors.WriteConflictError:
            known = service.read([key])[0]
            if known is not None and known.value != value:
                service.transact([table.Write(key, known.version, value)])
        self.registered_era = era

    def _look_up_routers(self) -> None:
        found = self.gateway.platform.table.scan(ROUTER_KEY_PREFIX, MAX_ROUTER_ROWS)
        now = self.clock.monotonic()
        for row in found:
            try:
                router = gossip.decode_router(row.value)
            except gossip.GossipError as error:
                logs.event("router_row_rejected", "warning", key=row.key, cause=str(error))
                continue
            # The row only shows how to connect to the router, not that it is ready.
            self.gateway.routers.add_known(dataclasses.replace(router, is_ready=False), now)


class Gateway:
    """One gateway process.

    Args:
      config: Settings of the process.
      platform: Interfaces to the platform.
      clock: Source of time; it must include the time during which the VM was paused.
    """

    def __init__(self, config: settings.GatewaySettings, platform: Platform, clock: clocks.Clock):
        self.settings = config
        self.platform = platform
        self.clock = clock
        self.meters = meters.GatewayMetrics()
        self.is_stopping = False
        self.was_ready = False
        boot_ms = int(clock.now().timestamp() * 1000)
        own = gossip.Router(
            config.name,
            boot_ms,
            config.reachable_address,
            config.ingress_address,
            config.data_centre,
            False,
            config.cpu_cores,
        )
        self.routers = routers.RouterTable(own)
        self.endpoints = endpoints.EndpointTable()
        self.cluster_state = cluster_state.ClusterState(platform.documents, clock, self.endpoints)
        wait_queue = waiting.WaitQueue()
        probes = reachability.Reachability(clock, wait_queue.wake)
        suspects = quarantine.Quarantine(
            QUARANTINE_CRASH_COUNT, spread=zlib.crc32(config.name.encode()) / 2**32
        )
        origins = stream_origins.StreamOrigins(clock)
        self.software_history = history = software_history.SoftwareHistory(
            clock, self.cluster_state
        )
        limit = connection_limit.ConnectionLimit(config.max_sockets)
        components = jobs.Components(
            config,
            clock,
            platform.protocol,
            self.cluster_state,
            channels.ChannelPool(clock, config.memory_bytes, limit.max_endpoint_channels),
            probes,
            budget.ServiceRetryBudget(config.bounds),
            wait_queue,
            suspects,
            crash_attribution.CrashAttribution(
                clock, suspects, self.endpoints, probes, self.meters, wait_queue.wake
            ),
            cache_index.CacheIndex(),
            self.meters,
            endpoint_notices.NoticeRecorder(clock, self.meters),
            continuation.Continuation(clock, self.cluster_state, origins, history, self.meters),
            usage_gossip.UsageGossip(config, clock, self.cluster_state, self.routers, self.meters),
        )
        self.components = components
        self.forwarder = forwarder.Forwarder(components, self._router_count)
        self.ingress = ingress.Ingress(config.ingress_address, self.forwarder, clock, limit)
        self.weights_tracker = weights.WeightsTracker(self.endpoints, clock)
        self.weights_tracker.on_change.append(components.wait_queue.wake)
        self.cluster_state.on_change.append(components.wait_queue.wake)
        self.cluster_state.on_change.append(self.check_ready)
        self.cluster_state.on_change.append(self.update_coordination)
        self.cluster_state.on_restore.append(platform.table.record_era)
        self.supervisor = supervisor.Supervisor("gateway", clock)
        self.admin_servers: list[management_server.Server] = []
        self.registration = Registration(self)
        self.peering = peering.Peering(config, self.forwarder, self.weights_tracker, self.routers)
        self.peering.watched_store = self._cache_store
        self.verdict_store = verdict_store.VerdictStore(
            components.crashes, platform.table, self.peering.store_following, clock
        )
        self.origin_store = stream_origins.OriginStore(
            origins, history, platform.table, self.peering.store_following, self.meters, clock
        )
        components.continuation.reader = self.origin_store
        components.continuation.control = platform.endpoint_control
        components.continuation.entries = self._endpoint_catch_up()
        history.contact_at = self._contact_at
        self.cluster_state.on_change.append(history.observe)
        self.weights_rollout = weights.WeightsRollout(
            config,
            self.cluster_state,
            self.weights_tracker,
            self._lease(boot_ms),
            platform.endpoint_control,
            self.meters,
            self.peering.store_following.may_order_weights,
        )

    def _lease(self, boot_ms: int) -> lease.Lease:
        lease_settings = lease.LeaseSettings(
            self.settings.bounds.lease_seconds, weights.LEASE_MARGIN_SECONDS
        )
        holder = f"{self.settings.name}@{boot_ms}"
        return lease.Lease(
            weights.LEASE_NAME, holder, lease_settings, self.platform.table, self.clock
        )

    def _contact_at(self) -> float:
        """Return when the endpoints' entries were last up to date, from the store or a peer.

        A router that follows the store may take seconds to notice that it does not answer.
        """
        read_at = self.cluster_state.endpoints_read_at
        if self.cluster_state.is_following():
            return read_at
        return max(read_at, self.peering.store_following.follower_seen_at)

    def _router_count(self) -> int:
        return self.routers.budget_divisor(self.clock.monotonic())

    # Start

    def start(self) -> None:
        """Open the listening sockets and start the tasks.

        Raises:
          OSError: When an address is already in use.
        """
        self._start_admin_servers()
        self.ingress.start()
        for name, source in self.platform.feeds.items():
            self.supervisor.add(self._feed(name, source))
        self.supervisor.add(self.peering)
        self.supervisor.add(
            cache_store_watcher.CacheStoreWatcher(
                self.platform.cache_store_client,
                self.components.index,
                self._cache_store,
                self.clock,
            )
        )
        self.supervisor.add(self.registration)
        self.supervisor.add(self.verdict_store)
        self.supervisor.add(self.origin_store)
        self.supervisor.add(self.weights_rollout)
        self.supervisor.add(Housekeeping(self))
        logs.event(
            "gateway_started",
            router=self.settings.name,
            data_centre=self.settings.data_centre,
            ingress=self.settings.ingress_address,
            boot=self.routers.own.boot,
        )

    def _cache_store(self) -> str:
        """Return the address of the cache store that this router watches, empty for none."""
        config = self.cluster_state.configuration
        watcher_index = self.peering.cache_watcher_index()
        stores = config.cache_stores() if config is not None else ()
        if watcher_index is None or not stores:
            return ""
        return sorted(store.cache_store for store in stores)[watcher_index % len(stores)]

    def _apply_store_rows(self, name: str, batch: rows.Batch) -> None:
        self.cluster_state.apply_rows(name, batch, "store")

    def _endpoint_catch_up(self) -> feed.CatchUp:
        name = self.platform.documents.endpoint_table
        replica = self.cluster_state.replicas[name]
        return feed.CatchUp(
            name,
            self.platform.feeds[name],
            self.clock,
            lambda: replica.version,
            self._apply_store_rows,
        )

    def _feed(self, name: str, source: rows.RowSource) -> feed.Feed:
        replica = self.cluster_state.replicas[name]

        def on_contact(contact: feed.StoreContact) -> None:
            self.cluster_state.record_store_contact(contact.table, contact.is_up)

        following = self.peering.store_following
        return feed.Feed(
            name,
            source,
            self.clock,
            lambda: replica.version,
            self._apply_store_rows,
            on_contact,
            following.needed.is_set,
            following.needed.wait,
            following.pause_factor,
        )

    def _start_admin_servers(self) -> None:
        pages = directory.ManagementApp(
            self.platform.directory,
            self.routers,
            self.is_ready,
            self.expose,
            self.clock,
            self.settings.bounds.directory_ttl_seconds,
        )
        addresses = {self.settings.ready_address, self.settings.directory_address}
        if self.settings.metrics_port:
            host = self.settings.ingress_address.rpartition(":")[0]
            addresses.add(f"{host}:{self.settings.metrics_port}")
        for address in addresses:
            host, _, port = address.rpartition(":")
            server = management_server.Server(
                (host, int(port)), pages, self.ingress.connections, self.clock
            )
            server.start()
            self.admin_servers.append(server)

    def is_ready(self) -> bool:
        """Return whether this router accepts callers."""
        return not self.is_stopping and self.cluster_state.is_complete()

    def check_ready(self) -> None:
        """Announce a change of readiness to the other routers."""
        is_ready = self.is_ready()
        if is_ready == self.was_ready:
            return
        self.was_ready = is_ready
        self.routers.own = dataclasses.replace(self.routers.own, is_ready=is_ready)
        config = self.cluster_state.configuration
        logs.event("ready", is_ready=is_ready, config=config.version if config else None)
        for listener in self.weights_tracker.on_update:
            listener()

    def update_coordination(self) -> None:
        """Choose how closely the routers coordinate by the configuration in force."""
        config = self.cluster_state.configuration
        chosen = router_ranking.coordination_for(
            config.longest_pause_objective() if config is not None else 0.0,
            self.settings.min_pause_objective_seconds,
        )
        if chosen is not self.routers.coordination:
            self.routers.coordinate(chosen)
            logs.event("coordination", status_seconds=chosen.status_seconds)

    def run_housekeeping(self) -> None:
        """Drop expired state and set the gauges."""
        self.cluster_state.expire()
        self.software_history.observe()
        self.components.pool.prune()
        self.components.crashes.expire()
        config = self.cluster_state.configuration
        self.meters.config_version.set(config.version if config else 0)
        self.meters.config_age.set(self.cluster_state.age())
        self.meters.in_flight.set(self.ingress.in_flight)
        self.meters.caller_bytes.set(self.ingress.memory.held_bytes)
        self._report_closed_connections()

    def _report_closed_connections(self) -> None:
        limit = self.ingress.connections
        closed = limit.pop_closed()
        for state, count in closed.items():
            self.meters.caller_connections_closed.labels(state).inc(count)
        if closed:
            logs.event(
                "caller_connections_closed",
                "warning",
                open=len(limit.connections),
                limit=limit.max_connections,
                **closed,
            )
        self.meters.connections.set(self.components.pool.opened_count)

    def expose(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self.meters.expose()

    # Shutdown

    def run_until(self, stopped: gevent.event.Event) -> int:
        """Serve until an event is set, then shut down gracefully.

        Returns:
          Number of requests that got no response.
        """
        self.start()
        stopped.wait()
        return self.stop()

    def stop(self) -> int:
        """Shut down gracefully: withdraw from the directory, finish open requests, stop the tasks.

        Returns:
          Number of requests that got no response.
        """
        shutdown_started_at = self.clock.monotonic()
        requests_end_at = (
            shutdown_started_at + self.settings.bounds.stop_seconds - SHUTDOWN_MARGIN_SECONDS
        )
        self.is_stopping = self.ingress.is_stopping = True
        admit_all_seconds = min(
            SHUTDOWN_ADMIT_ALL_SECONDS,
            SHUTDOWN_ADMIT_ALL_FRACTION * self.settings.bounds.stop_seconds,
        )
        self.ingress.admission.shutdown = admission.Shutdown(
            shutdown_started_at + admit_all_seconds, requests_end_at
        )
        self.check_ready()
        logs.event("gateway_stopping", in_flight=self.ingress.in_flight)
        gevent.spawn(self.weights_rollout.stop_orders)
        gevent.spawn(self._unregister)
        accept_until = (
            shutdown_started_at + self.settings.bounds.stop_seconds * SHUTDOWN_ACCEPT_FRACTION
        )
        while self.clock.monotonic() < accept_until and not self._can_stop_accepting(
            shutdown_started_at
        ):
            self.clock.sleep(SHUTDOWN_POLL_SECONDS)
        self.ingress.stop_accepting()
        # Lets the greenlets of the connections that were accepted last start.
        self.clock.sleep(SHUTDOWN_POLL_SECONDS)
        while self.ingress.open_channels and self.clock.monotonic() < requests_end_at:
            self.clock.sleep(SHUTDOWN_POLL_SECONDS)
        interrupted = self.ingress.in_flight
        self.ingress.interrupt_requests()
        answers_end_at = self.clock.monotonic() + SHUTDOWN_ANSWER_SECONDS
        while self.ingress.in_flight and self.clock.monotonic() < answers_end_at:
            self.clock.sleep(SHUTDOWN_POLL_SECONDS / 5)
        open_requests = self.ingress.in_flight
        logs.event(
            "gateway_stopped",
            "warning" if interrupted else "info",
            interrupted=interrupted,
            cut=open_requests,
            seconds=self.clock.monotonic() - shutdown_started_at,
        )
        for server in self.admin_servers:
            server.stop(timeout=0)
        self.supervisor.stop()
        return open_requests

    def _can_stop_accepting(self, shutdown_started_at: float) -> bool:
        """Return whether the listening socket can be closed.

        This is so when the callers' directory responses have expired and no request came recently.
        """
        now = self.clock.monotonic()
        is_directory_expired = now - shutdown_started_at > 2 * directory.TTL_SECONDS
        return (
            is_directory_expired and now - self.ingress.last_request_at > IDLE_BEFORE_CLOSE_SECONDS
        )

    def _unregister(self) -> None:
        if self.registration.registered_era is None:
            return
        try:
            key = ROUTER_KEY_PREFIX + self.settings.name
            known = self.platform.table.read([key])[0]
            if known is not None:
                self.platform.table.transact([table.Write(key, known.version, None)])
        except errors.PlatformError as error:
            logs.event("registration_failed", "warning", cause=str(error))
