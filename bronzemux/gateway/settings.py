"""Settings of one gateway process."""

from bronzemux import records


@records.record
class Bounds:
    """Time and retry limits that the deployment guarantees to its users.

    Attributes:
      stop_seconds: Time from SIGTERM to SIGKILL.
      configuration_seconds: Time within which a new configuration takes effect.
      drain_seconds: Time after which a draining endpoint gets no new requests.
      lease_seconds: Shortest time between the orders of two successive lease holders.
      weights_seconds: Time after which no request may start on older weights.
      retry_ratio: Retries that a service may receive per request.
      retry_window_seconds: Window over which requests and retries are counted.
      retry_slack: Retries of all routers together that are allowed beyond the ratio in one window.
      directory_ttl_seconds: Longest lifetime of a directory response.
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


@records.record
class GatewaySettings:
    """Settings of one gateway process.

    Attributes:
      name: Name of the VM.
      data_centre: Data centre of the VM.
      data_centres: All data centres.
      ingress_address: Address that accepts callers.
      ready_address: Address of the readiness check.
      directory_address: Address of the directory, which lists the routers for callers.
      peer_address: Address that accepts connections of other routers.
      advertised_peer_address: Address given to other routers, empty for `peer_address`; the two
        differ behind network address translation.
      metrics_port: Port of the metrics, 0 for none.
      seeds: Peer addresses of a few routers to contact first; some may no longer exist.
      store_address: Address of the platform's store.
      memory_bytes: Memory limit of the process, 0 when it is unknown.
      max_file_descriptors: Limit of open file descriptors.
      cpu_cores: CPU capacity of the VM, in cores of normal speed.
      bounds: Limits that the deployment guarantees.
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
    max_file_descriptors: int = 1024
    cpu_cores: float = 1.0
    bounds: Bounds = Bounds()
    advertised_peer_address: str = ""

    @property
    def reachable_address(self) -> str:
        """Return the address at which other routers connect."""
        return self.advertised_peer_address or self.peer_address
