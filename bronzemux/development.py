"""Development deployment in one process, with stand-ins for engines, services and the platform."""

import dataclasses
import time

from bronzemux import clock as clocks
from bronzemux import (
    config,
    config_store,
    engine,
    router,
    settings,
    standin_cache,
    standin_engine,
    standin_platform,
    standin_service,
    vms,
)

DEMONSTRATION_KEY = "demo-{deployment}-{team}"
READY_TIMEOUT_SECONDS = 10.0
READY_POLL_SECONDS = 0.01


@dataclasses.dataclass(frozen=True)
class DevelopmentSettings:
    """Settings of a development deployment.

    Attributes:
      text: TOML document; the stand-ins' addresses replace those of its endpoints.
      routers: Number of routers.
      base_port: First port of the routers, 0 for any ports.
      token_seconds: Time to generate one token at the stand-in engines.
      speed: Factor on the configured prefill throughput of the stand-in engines.
      progress_seconds: Maximum time without data in the response of an endpoint.
      late_answer_seconds: Additional wait, after the progress timeout, for the response to a
        non-idempotent request.
      drain_seconds: Time for requests to complete when a router shuts down.
    """

    text: str
    routers: int = 2
    base_port: int = 0
    token_seconds: float = 0.002
    speed: float = 1.0
    progress_seconds: float = 5.0
    late_answer_seconds: float = 30.0
    drain_seconds: float = 10.0


class DevelopmentDeployment:
    """Stand-ins and routers of one deployment.

    Args:
      development_settings: Settings.
      clock: Source of time.
    """

    def __init__(self, development_settings: DevelopmentSettings, clock: clocks.Clock):
        self.settings = development_settings
        self.clock = clock
        self.platform = standin_platform.StandinPlatform(clock)
        self.load_counter = standin_cache.WeightLoadCounter()
        self.engines: dict[str, standin_engine.StandinEngine] = {}
        self.services: dict[str, standin_service.StandinService] = {}
        self.routers: list[router.Router] = []
        self.text = development_settings.text
        self.document = config.loads(self.text)
        store = self.document.cache_store
        self.store = store and standin_cache.CacheStore(store.tokens_per_second)

    def start(self) -> None:
        """Start platform, stand-ins and routers, and wait until the routers are ready."""
        self.platform.start()
        for endpoint in self.document.endpoints:
            self._start_endpoint(endpoint)
        self.document = config.loads(self.text)
        change = config_store.Change(0, self.text, "development", "first configuration")
        config_store.ConfigStore(self.platform.table, self.clock).apply(change)
        for position in range(self.settings.routers):
            self.start_router(position)
        self.wait_ready()

    def _start_endpoint(self, endpoint: config.Endpoint) -> None:
        standin = (
            self._create_engine(endpoint)
            if endpoint.kind == "model"
            else self._create_service(endpoint)
        )
        standin.start()
        self.text = self.text.replace(f'"{endpoint.address}"', f'"127.0.0.1:{standin.port}"')

    def _create_engine(self, endpoint: config.Endpoint) -> standin_engine.StandinEngine:
        versions = {model.name: model.weights_version for model in self.document.models}
        standin = standin_engine.StandinEngine(
            standin_engine.StandinSettings(
                name=endpoint.name,
                models=tuple((name, versions[name]) for name in endpoint.models),
                prefill_tokens_per_second=endpoint.prefill_tokens_per_second * self.settings.speed,
                token_seconds=self.settings.token_seconds,
                slots=endpoint.slots,
                cache_pieces=endpoint.cache_pieces,
                piece_bytes=self.document.deployment.piece_bytes,
                checks_fencing=endpoint.checks_fencing,
            ),
            self.clock,
            self.load_counter,
            self.store,
        )
        self.engines[endpoint.name] = standin
        return standin

    def _create_service(self, endpoint: config.Endpoint) -> standin_service.StandinService:
        standin = standin_service.StandinService(endpoint.name, self.clock)
        self.services[endpoint.name] = standin
        return standin

    def start_router(self, position: int) -> router.Router:
        """Start the router at a position; a replacement uses the port of its predecessor."""
        data_centres = self.document.deployment.data_centres
        port = self.settings.base_port + position if self.settings.base_port else 0
        if position < len(self.routers):
            port = self.routers[position].port
        started = router.Router(
            settings.RouterSettings(
                name=f"router-{position + 1}",
                data_centre=data_centres[position % len(data_centres)],
                port=port,
                platform_port=self.platform.port,
                progress_seconds=self.settings.progress_seconds,
                late_answer_seconds=self.settings.late_answer_seconds,
                drain_seconds=self.settings.drain_seconds,
                peers=tuple(item.mesh.address for item in self.routers),
            ),
            self.clock,
        )
        started.start()
        self.routers[position : position + 1] = [started]
        self._update_vm_list()
        return started

    def crash_router(self, position: int) -> None:
        """Crash a router as the loss of its VM does, without cancelling its requests at engines."""
        crashed = self.routers[position]
        for client in crashed.engines.engines.values():
            client.cancel = _discard_cancellation
        crashed.crash()

    def _update_vm_list(self) -> None:
        for item in self.routers:
            address = f"127.0.0.1:{item.port}"
            data_centre = item.settings.data_centre
            self.platform.vms.vms[item.settings.name] = vms.Vm(
                item.settings.name,
                data_centre,
                address,
                "router",
                peer_address=item.mesh.address,
            )
        for endpoint in self.document.endpoints:
            self.platform.vms.vms[endpoint.name] = vms.Vm(
                endpoint.name, endpoint.data_centre, endpoint.address, "endpoint"
            )

    def wait_ready(self) -> None:
        """Wait until every router is ready, for at most `READY_TIMEOUT_SECONDS`."""
        timeout_at = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < timeout_at and not all(map(self.is_ready, self.routers)):
            self.clock.sleep(READY_POLL_SECONDS)

    def is_ready(self, item: router.Router) -> bool:
        """Return whether a router has a configuration, the VM list, its peers and engine reports.

        While the platform is down, the VM list is not required.

        Args:
          item: The router.
        """
        states = item.dispatcher.fleet.states
        reported = [name for name in self.engines if name in states and states[name].incarnation]
        listed_count = sum(vm.role == "router" for vm in item.status.vm_list)
        has_vms = self.platform.faults.is_down or listed_count >= len(self.routers)
        knows_peers = len(item.mesh.membership.alive()) >= len(self.routers)
        is_configured = item.status.snapshot is not None
        return is_configured and len(reported) == len(self.engines) and has_vms and knows_peers

    def key(self, team: str) -> str:
        """Return the demonstration API key of a team."""
        return DEMONSTRATION_KEY.format(deployment=self.document.deployment.name, team=team)

    def base_url(self, position: int = 0) -> str:
        """Return the URL of a router's interface for callers."""
        return f"http://127.0.0.1:{self.routers[position].port}"

    def executions(self) -> list[standin_engine.Execution]:
        """Return the executions at all engines."""
        return [item for standin in self.engines.values() for item in standin.executions]

    def orders(self) -> list[engine.Order]:
        """Return the orders that all engines executed."""
        return [item for standin in self.engines.values() for item in standin.orders]

    def stop(self) -> None:
        """Stop routers, stand-ins and platform at once, without draining."""
        for item in self.routers:
            item.crash()
        for standin in (*self.engines.values(), *self.services.values()):
            if standin.is_up:
                standin.crash()
        self.platform.stop()


def _discard_cancellation(request_id: str) -> None:
    """Ignore a cancellation; replaces `cancel` of a crashed router's engine clients."""
