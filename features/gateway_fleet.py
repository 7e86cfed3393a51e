"""Many gateways in one process without sockets: their messages pass through a network of lists.

Only what gateways tell each other is played: status messages, lists of routers and rows. The clock
moves in steps, and what is sent in one step arrives in the next.
"""

import dataclasses
import json

from bronzemux import clock
from bronzemux.gateway import gateway, gossip, routers, rows, settings
from bronzemux.platform import assembly
from features import gateway_support

STEP_SECONDS = 0.05
STORE_ADDRESS = "127.0.0.1:9"


@dataclasses.dataclass
class Line:
    """Connection to one address that keeps what is sent until the next step."""

    fleet: "Fleet"
    source: str
    address: str

    def send(self, frame: bytes) -> None:
        """Queue a frame."""
        self.fleet.post(self.source, self.address, frame)

    def close(self) -> None:
        """End the connection."""


class Store:
    """Rows of the operator's table, and how often it was asked."""

    def __init__(self):
        self.version = 0
        self.rows: tuple[rows.Row, ...] = ()
        self.reads = 0

    def put(self, config_version: int) -> None:
        """Write a configuration."""
        self.version += 1
        document = json.dumps(gateway_support.configuration(config_version)).encode()
        self.rows = (rows.Row("config", self.version, document),)

    def batch(self, table: str) -> rows.Batch:
        """Return all rows of a table; that of the endpoints is empty."""
        found = self.rows if table == "op" else ()
        return rows.Batch(found, self.version, is_whole=True)


class Fleet:
    """Gateways of a deployment.

    Args:
      processors: Processor of each router by its name; the first letter names its data centre.
    """

    def __init__(self, processors: dict[str, float]):
        self.clock = clock.FakeClock()
        self.store = Store()
        self.processors = processors
        self.gateways: dict[str, gateway.Gateway] = {}
        self.names: dict[str, str] = {}
        self.down: set[str] = set()
        self.cut_from_store: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.in_transit: list[tuple[str, str, bytes]] = []
        self.bytes_sent: dict[str, int] = {}
        self.bytes_received: dict[str, int] = {}
        self.messages_received: dict[str, int] = {}
        self.followed: dict[str, int] = {}
        self.seeds = tuple(self._address(name) for name in sorted(processors)[:3])
        for name in processors:
            self.start(name)

    def _address(self, name: str) -> str:
        return f"{name}:1"

    def start(self, name: str) -> None:
        """Start a gateway, or start it again."""
        config = settings.GatewaySettings(
            name=name,
            data_centre=name[0],
            ingress_address=f"{name}:2",
            ready_address=f"{name}:3",
            directory_address=f"{name}:4",
            peer_address=self._address(name),
            store_address=STORE_ADDRESS,
            seeds=self.seeds,
            cpu_cores=self.processors[name],
        )
        made = gateway.Gateway(config, assembly.build_platform(config), self.clock)
        made.peering.connect = lambda address: Line(self, name, address)
        self.gateways[name] = made
        self.names[self._address(name)] = name
        self.down.discard(name)
        self.followed[name] = 0

    def post(self, source: str, address: str, frame: bytes) -> None:
        """Take a frame that is sent."""
        target = self.names.get(address)
        self.bytes_sent[source] = self.bytes_sent.get(source, 0) + len(frame)
        if target is not None and frozenset((source, target)) not in self.cuts:
            self.in_transit.append((source, target, frame))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self._step()

    def _step(self) -> None:
        arriving, self.in_transit = self.in_transit, []
        for _, target, frame in arriving:
            if target not in self.down:
                self.bytes_received[target] = self.bytes_received.get(target, 0) + len(frame)
                count = self.messages_received.get(target, 0)
                self.messages_received[target] = count + 1
                self.gateways[target].peering.handle(gossip.decode(frame))
        for name in sorted(set(self.gateways) - self.down):
            self._follow(name)
            self._tick(name)
            self.gateways[name].check_ready()

    def _tick(self, name: str) -> None:
        peers = self.gateways[name].peering
        while not peers.mailbox.empty():
            peers.handle(peers.mailbox.get())
        now = self.clock.monotonic()
        if now >= peers.next_tick:
            peers.next_tick = now + routers.STATUS_SECONDS
            peers.tick()

    def _follow(self, name: str) -> None:
        """Do what the feeds do, at once."""
        made = self.gateways[name]
        needed = made.peering.must_follow_store()
        is_up = name not in self.cut_from_store if needed else None
        for table in made.knowledge.replicas:
            made.knowledge.contact(table, is_up)
        if not is_up:
            return
        self.followed[name] += 1
        for table, replica in made.knowledge.replicas.items():
            if replica.version < self.store.version:
                self.store.reads += 1
                made.knowledge.take(table, self.store.batch(table), "store")

    # What can be seen

    def versions(self) -> dict[str, int]:
        """Return the configuration in force at each router that runs, 0 for none."""
        found = {}
        for name in set(self.gateways) - self.down:
            config = self.gateways[name].knowledge.configuration
            found[name] = config.version if config is not None else 0
        return found

    def view(self, name: str) -> set[str]:
        """Return the names that a router holds for alive, its own included."""
        table = self.gateways[name].routers
        return {router.name for router in table.alive(self.clock.monotonic())} | {name}

    def readers(self) -> set[str]:
        """Return the routers that have followed the store since this was last asked."""
        found = {name for name, count in self.followed.items() if count}
        self.followed = dict.fromkeys(self.gateways, 0)
        return found
