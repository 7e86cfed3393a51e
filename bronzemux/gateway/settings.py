"""Settings of one gateway process."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What the deployment promises its users.

    Attributes:
      stop_seconds: Time from SIGTERM to SIGKILL.
      configuration_seconds: Time within which a configuration is in force.
      drain_seconds: Time within which a leaving endpoint gets no more work.
      lease_seconds: Least time between orders of two holders that take turns.
      weights_seconds: Time after which no request may begin on older weights.
      retry_ratio: Repeated arrivals at a service for each request.
      retry_window_seconds: Window in which they are counted.
      retry_slack: Repeated arrivals beyond the ratio, over all routers.
      directory_ttl_seconds: Longest time that counts for a directory answer.
    """

    stop_seconds: float = 8.0
    configuration_seconds: float = 2.0
    drain_seconds: float = 2.0
    lease_seconds: float = 3.0
    weights_seconds: float = 10.0
    retry_ratio: float = 0.2
    retry_window_seconds: float = 10.0
    retry_slack: float = 20.0
    directory_ttl_seconds: float = 5.0


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway process.

    Attributes:
      name: Name of the VM.
      data_centre: Its data centre.
      data_centres: All data centres.
      ingress_address: Where callers connect.
      ready_address: Where readiness is asked for.
      directory_address: Where callers ask which router to use.
      peer_address: Where this router accepts other routers.
      advertised_peer_address: Where they are told to connect, empty for `peer_address`; another
        one behind a translation of addresses.
      metrics_port: Port of the metrics, 0 for none.
      seeds: Peer addresses of a few routers; they may be gone.
      store_address: The platform's store.
      memory_bytes: Memory that the process may use, 0 for unknown.
      descriptors: File descriptors that it may use.
      cpu_cores: Processor of the VM in cores of ordinary speed.
      bounds: What the deployment promises.
    """

    name: str
    data_centre: str
    ingress_address: str
    ready_address: str
    directory_address: str
    peer_address: str
    store_address: str
    data_centres: tuple[str, ...] = ()
    metrics_port: int = 0
    seeds: tuple[str, ...] = ()
    memory_bytes: int = 0
    descriptors: int = 1024
    cpu_cores: float = 1.0
    bounds: Bounds = Bounds()
    advertised_peer_address: str = ""

    @property
    def reachable_address(self) -> str:
        """Return where other routers connect."""
        return self.advertised_peer_address or self.peer_address
