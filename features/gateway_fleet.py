"""Simulation of many gateways in one process, without sockets.

It covers only the messages between gateways: status messages, rosters and rows. The fake clock
advances in steps, and a message sent in one step arrives in the next.
"""

import dataclasses
import json

from bronzemux import clock, store_version
from bronzemux.gateway import gateway, gossip, routers, rows, settings
from bronzemux.platform import assembly
from features import gateway_support

STEP_SECONDS = 0.05
STORE_ADDRESS = "127.0.0.1:9"
# Key of the only entry in the table of the endpoints.
ENDPOINT = "lm-1"


@dataclasses.dataclass
class FakePeer:
    """Connection to one address; its frames are delivered in the next step."""

    fleet: "Fleet"
    source: str
    address: str

    def send(self, frame: bytes) -> None:
        """Send a frame."""
        self.fleet.transmit(self.source, self.address, frame)

    def close(self) -> None:
        """Close the connection."""


class FakeStore:
    """The operator's table and that of the endpoints, with a count of the reads."""

    def __init__(self):
        self.version = store_version.combine(1, 0)
        self.rows: tuple[rows.Row, ...] = ()
        self.entries: tuple[rows.Row, ...] = ()
        self.reads = 0

    def put(self, config_version: int) -> None:
        """Write a configuration."""
        self.version += 1
        document = json.dumps(gateway_support.configuration(config_version)).encode()
        self.rows = (rows.Row("config", self.version, document),)

    def put_entry(self) -> None:
        """Write the entry of an endpoint."""
        self.version += 1
        entry = {
            "service": "lm",
            "address": "10.0.0.1:80",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": self.version,
            "born": 1000,
            "stage": "colocated",
            "models": [{"name": gateway_support.MODEL, "version": 1, "adapters": []}],
        }
        self.entries = (rows.Row(ENDPOINT, self.version, json.dumps(entry).encode()),)

    def drop_entry(self) -> None:
        """Remove the entry of the endpoint."""
        self.version += 1
        self.entries = ()

    def copy(self) -> tuple:
        """Return a copy of the content."""
        return store_version.number_of(self.version), self.rows, self.entries

    def restore(self, copy: tuple) -> None:
        """Replace the content by an older copy."""
        era = store_version.era_of(self.version) + 1
        number, self.rows, self.entries = copy
        self.version = store_version.combine(era, number)
        self.rows, self.entries = map(self._of_era, (self.rows, self.entries))

    def _of_era(self, found: tuple[rows.Row, ...]) -> tuple[rows.Row, ...]:
        era = store_version.era_of(self.version)
        return tuple(
            dataclasses.replace(
                row, version=store_version.combine(era, store_version.number_of(row.version))
            )
            for row in found
        )

    def batch(self, table: str) -> rows.Batch:
        """Return a snapshot of a table."""
        found = self.rows if table == "op" else self.entries
        return rows.Batch(found, self.version, is_snapshot=True)


class Fleet:
    """Simulated gateways of a deployment.

    Args:
      cpu_cores: CPU capacity of each router in cores, by name. The first letter of the name is the
        data centre.
    """

    def __init__(self, cpu_cores: dict[str, float]):
        self.clock = clock.FakeClock()
        self.store = FakeStore()
        self.cpu_cores = cpu_cores
        self.gateways: dict[str, gateway.Gateway] = {}
        self.name_by_address: dict[str, str] = {}
        self.down: set[str] = set()
        self.partitioned_from_store: set[str] = set()
        self.partitions: set[frozenset[str]] = set()
        self.in_transit: list[tuple[str, str, bytes]] = []
        self.bytes_sent: dict[str, int] = {}
        self.bytes_received: dict[str, int] = {}
        self.messages_received: dict[str, int] = {}
        self.follow_counts: dict[str, int] = {}
        self.seeds = tuple(self._address(name) for name in sorted(cpu_cores)[:3])
        for name in cpu_cores:
            self.start(name)

    def _address(self, name: str) -> str:
        return f"{name}:1"

    def start(self, name: str) -> None:
        """Start or restart a gateway."""
        config = settings.GatewaySettings(
            name=name,
            data_centre=name[0],
            ingress_address=f"{name}:2",
            ready_address=f"{name}:3",
            directory_address=f"{name}:4",
            peer_address=self._address(name),
            store_address=STORE_ADDRESS,
            seeds=self.seeds,
            cpu_cores=self.cpu_cores[name],
        )
        member = gateway.Gateway(config, assembly.build_platform(config), self.clock)
        member.peering.connect = lambda address: FakePeer(self, name, address)
        self.gateways[name] = member
        self.name_by_address[self._address(name)] = name
        self.down.discard(name)
        self.follow_counts[name] = 0

    def transmit(self, source: str, address: str, frame: bytes) -> None:
        """Send a frame to an address, unless a partition separates the two routers."""
        target = self.name_by_address.get(address)
        self.bytes_sent[source] = self.bytes_sent.get(source, 0) + len(frame)
        if target is not None and frozenset((source, target)) not in self.partitions:
            self.in_transit.append((source, target, frame))

    def run(self, seconds: float) -> None:
        """Advance the simulation by some seconds."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self._run_step()

    def _run_step(self) -> None:
        arriving, self.in_transit = self.in_transit, []
        for _, target, frame in arriving:
            if target not in self.down:
                self.bytes_received[target] = self.bytes_received.get(target, 0) + len(frame)
                count = self.messages_received.get(target, 0)
                self.messages_received[target] = count + 1
                self.gateways[target].peering.handle(gossip.decode(frame))
        for name in sorted(set(self.gateways) - self.down):
            self._follow_store(name)
            self._tick(name)
            self.gateways[name].check_ready()

    def _tick(self, name: str) -> None:
        gateway_peering = self.gateways[name].peering
        while not gateway_peering.mailbox.empty():
            gateway_peering.handle(gateway_peering.mailbox.get())
        now = self.clock.monotonic()
        if now >= gateway_peering.next_tick:
            gateway_peering.next_tick = now + routers.STATUS_SECONDS
            gateway_peering.tick()

    def _follow_store(self, name: str) -> None:
        """Read the store as the feeds do, but without their delays."""
        member = self.gateways[name]
        needed = member.peering.store_following.is_needed()
        is_up = name not in self.partitioned_from_store if needed else None
        for table in member.cluster_state.replicas:
            member.cluster_state.record_store_contact(table, is_up)
        if not is_up:
            return
        self.follow_counts[name] += 1
        for table, replica in member.cluster_state.replicas.items():
            if replica.version < self.store.version:
                self.store.reads += 1
                member.cluster_state.apply_rows(table, self.store.batch(table), "store")

    # Observation

    def is_follower(self, name: str) -> bool:
        """Return whether a running router currently follows the store."""
        return name not in self.down and self.gateways[name].peering.store_following.is_needed()

    def configuration_versions(self) -> dict[str, int]:
        """Return the version of the configuration in force at each running router, 0 for none."""
        found = {}
        for name in set(self.gateways) - self.down:
            config = self.gateways[name].cluster_state.configuration
            found[name] = config.version if config is not None else 0
        return found

    def alive_view(self, name: str) -> set[str]:
        """Return the names of the routers that a router considers alive, its own included."""
        table = self.gateways[name].routers
        return {router.name for router in table.alive(self.clock.monotonic())} | {name}

    def pop_store_followers(self) -> set[str]:
        """Return the names of the routers that followed the store since the previous call."""
        found = {name for name, count in self.follow_counts.items() if count}
        self.follow_counts = dict.fromkeys(self.gateways, 0)
        return found
