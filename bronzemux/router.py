"""A router process: its task tree, HTTP server and graceful shutdown."""

import gevent

from bronzemux import (
    claim_reconciler,
    claims,
    committer,
    config,
    config_store,
    context,
    dispatcher,
    engine_http,
    errors,
    http_client,
    http_server,
    lease,
    logs,
    mesh,
    messages,
    metrics,
    object_store,
    rollout,
    settings,
    supervisor,
    sweeper,
    table,
    vms,
    watcher,
    web,
    wire,
)
from bronzemux import clock as clocks
from bronzemux import snapshot as snapshots

DRAIN_POLL_SECONDS = 0.05
# Time for the errors that end unfinished requests to be sent.
INTERRUPT_SECONDS = 0.5
# Time for the requests that arrive last, which are refused.
LAST_REQUESTS_SECONDS = 1.0


class EngineCache(context.EngineFactory):
    """Engine clients by endpoint, reused until the address of the endpoint changes.

    Args:
      timeouts: Connect and progress timeouts of the clients.
    """

    def __init__(self, timeouts: http_client.Timeouts):
        self.timeouts = timeouts
        self.engines: dict[tuple[str, str], engine_http.HttpEngine] = {}

    def __call__(self, endpoint: config.Endpoint) -> engine_http.HttpEngine:
        """Return the client of the engine at an endpoint."""
        key = (endpoint.name, endpoint.address)
        if key not in self.engines:
            self.engines[key] = engine_http.HttpEngine(
                endpoint.name, endpoint.host, endpoint.port, self.timeouts
            )
        return self.engines[key]


class Router:
    """A router process as a tree of supervised tasks.

    Args:
      router_settings: Settings of the router.
      clock: Source of time.
    """

    def __init__(self, router_settings: settings.RouterSettings, clock: clocks.Clock):
        self.settings = router_settings
        self.clock = clock
        self.meters = metrics.Metrics()
        self.status = context.Status()
        self.root = supervisor.Supervisor("root", clock)
        self.watchers = supervisor.Supervisor("watchers", clock)
        self.engines = EngineCache(
            http_client.Timeouts(router_settings.connect_seconds, router_settings.progress_seconds)
        )
        self._build_platform_clients()
        self._build_tasks()
        self.server = http_server.Server(
            (router_settings.host, router_settings.port), web.App(self.context)
        )

    def _build_platform_clients(self) -> None:
        service_settings = http_client.PlatformServiceSettings(
            self.settings.platform_host, self.settings.platform_port
        )
        self.table = table.HttpTable(service_settings)
        self.objects = object_store.HttpObjectStore(service_settings)
        self.vm_list = vms.HttpVmList(service_settings, self.clock)

    def _build_tasks(self) -> None:
        name = self.settings.name
        # The dispatcher and the mesh get lambdas for tasks that are created after them.
        self.dispatcher = dispatcher.Dispatcher(
            dispatcher.DispatcherSettings(self.settings.data_centre),
            self.clock,
            self.meters,
            lambda fingerprints: self.mesh.send(mesh.RequestsQuarantined(fingerprints)),
        )
        self.mesh = mesh.Mesh(
            self.settings,
            self.clock,
            self.meters,
            self.dispatcher,
            lambda head: self.config_watcher.send(head),
            self._publish_members,
            lambda changes: self.vm_watcher.send(changes),
        )
        self.committer = committer.Committer(self.table, self.clock, self.meters)
        self.claim_reconciler = claim_reconciler.ClaimReconciler(
            self.committer, self.table, self.clock
        )
        claim_settings = claims.ClaimSettings(self.mesh.identity)
        self.sweeper = sweeper.Sweeper(
            claim_settings,
            name,
            self.table,
            self.objects,
            self.committer,
            self.clock,
            lambda: [member.name for member in self.mesh.membership.alive()],
        )
        self.claims = claims.Claims(
            claim_settings,
            self.table,
            self.objects,
            self.committer,
            self.claim_reconciler,
            self.clock,
            self.meters,
            self.mesh.is_holder_gone,
        )
        self.rollout = rollout.RolloutTask(
            rollout.RolloutSettings(
                self.mesh.identity,
                self.settings.data_centre,
                lease.LeaseSettings(self.settings.lease_seconds),
            ),
            self.table,
            self.dispatcher,
            self.engines,
            self.clock,
        )
        store = config_store.ConfigStore(self.table, self.clock)
        self.config_watcher = watcher.ConfigWatcher(
            store, self.clock, self._publish_snapshot, self.meters, name
        )
        self.vm_watcher = watcher.VmWatcher(
            self.vm_list, self.clock, self._publish_vms, self.meters, name
        )
        self.context = context.Context(
            settings=self.settings,
            clock=self.clock,
            meters=self.meters,
            status=self.status,
            dispatcher=self.dispatcher,
            config_store=store,
            claims=self.claims,
            engine_of=self.engines,
            members=self._describe_members,
        )

    # Start and shutdown

    def start(self) -> None:
        """Start the tasks and the HTTP server."""
        tasks = (
            self.dispatcher,
            self.committer,
            self.claim_reconciler,
            self.sweeper,
            self.watchers,
            self.mesh,
            self.rollout,
            self.config_watcher,
            self.vm_watcher,
        )
        for task in tasks:
            self.root.add(task)
        self.server.start()
        logs.event("router_started", router=self.settings.name, port=self.server.server_port)

    @property
    def port(self) -> int:
        """Return the TCP port that callers connect to."""
        return self.server.server_port

    def stop(self) -> int:
        """Shut down gracefully: reject new requests and let running ones finish.

        Returns:
          Number of requests that were still running when the drain time expired.
        """
        self.status.is_draining = True
        self.mesh.send(mesh.Drain())
        logs.event("router_draining", router=self.settings.name, in_flight=self.status.in_flight)
        deadline = self.clock.monotonic() + self.settings.drain_seconds
        self.rollout.send(rollout.ReleaseLeases())
        while self._is_busy() and self.clock.monotonic() < deadline:
            self.clock.sleep(DRAIN_POLL_SECONDS)
        unfinished = self.status.in_flight
        self._interrupt_requests()
        self.server.drain(LAST_REQUESTS_SECONDS)
        self.root.stop()
        level = "warning" if unfinished else "info"
        logs.event("router_stopped", level, router=self.settings.name, left_requests=unfinished)
        return unfinished

    def _interrupt_requests(self) -> None:
        """Let the callers of unfinished requests get an error before the connections close."""
        for scope in list(self.status.scopes):
            scope.interrupt(errors.ShutdownError())
        deadline = self.clock.monotonic() + INTERRUPT_SECONDS
        while self.status.scopes and self.clock.monotonic() < deadline:
            self.clock.sleep(DRAIN_POLL_SECONDS)

    def _is_busy(self) -> bool:
        """Return whether requests are running or claim writes are pending."""
        return bool(self.status.in_flight or self.claim_reconciler.pending)

    def crash(self) -> None:
        """Stop without draining, as when the VM fails."""
        self.server.abort()
        self.root.stop()
        self.watchers.stop()

    # Updates from the watchers and the mesh

    def _publish_snapshot(self, snapshot: snapshots.Snapshot, head: config_store.Head) -> None:
        self.status.snapshot = snapshot
        self.dispatcher.send(messages.SnapshotChanged(snapshot))
        self.rollout.send(messages.SnapshotChanged(snapshot))
        self.mesh.send(mesh.ConfigApplied(head))
        self._update_endpoint_watchers(snapshot.config)
        self._publish_leaving_endpoints()

    def _publish_vms(self, vm_list: tuple[vms.Vm, ...], changes: vms.Changes | None) -> None:
        self.status.vm_list = vm_list
        self.mesh.send(mesh.VmListChanged(vm_list, changes))
        self._publish_leaving_endpoints()

    def _publish_members(self, members: list[wire.Member]) -> None:
        unavailable = [m for m in members if m.is_draining or m.state is wire.MemberState.DEAD]
        self.status.unavailable_routers = frozenset(member.name for member in unavailable)
        is_relay = self.mesh.membership.is_relay()
        self.config_watcher.is_relay = is_relay
        self.vm_watcher.is_relay = is_relay
        for state in wire.MemberState:
            count = sum(member.state is state for member in members)
            self.meters.members.labels(state.name.lower()).set(count)

    def _describe_members(self) -> list[dict]:
        peer_versions = self.mesh.membership.peer_config_versions
        own_version = self.mesh.membership.config_version
        # `members()` returns this router first.
        return [
            {
                "name": member.name,
                "data_centre": member.data_centre,
                "address": member.address,
                "state": member.state.name.lower(),
                "is_draining": member.is_draining,
                "version": own_version if not position else peer_versions.get(member.address, 0),
            }
            for position, member in enumerate(self.mesh.membership.members())
        ]

    def _publish_leaving_endpoints(self) -> None:
        if self.status.snapshot is not None:
            names = watcher.leaving_endpoints(self.status.snapshot.config, self.status.vm_list)
            self.dispatcher.send(messages.LeavingEndpoints(names))

    def _update_endpoint_watchers(self, document: config.Config) -> None:
        endpoints_by_watcher = {f"watch-{e.name}": e for e in document.endpoints}
        for child in list(self.watchers.children):
            if endpoints_by_watcher.get(child.name) != child.endpoint:
                self.watchers.remove(child.name)
        running = {child.name for child in self.watchers.children}
        for name, endpoint in endpoints_by_watcher.items():
            if name not in running:
                self.watchers.add(
                    watcher.EndpointWatcher(endpoint, self.engines, self.dispatcher, self.clock)
                )

    def run_until(self, stop_event: gevent.event.Event) -> int:
        """Serve until an event is set, then shut down gracefully.

        Args:
          stop_event: Event that starts the shutdown.

        Returns:
          Number of requests that were still running when the drain time expired.
        """
        self.start()
        stop_event.wait()
        return self.stop()
