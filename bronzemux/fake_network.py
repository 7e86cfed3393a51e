"""Simulated network of membership state machines on a fake clock, for tests and measurements."""

import collections
import heapq
import itertools
import random

from bronzemux import clock as clocks
from bronzemux import membership, signing, wire

TICK_SECONDS = 0.1
LOCAL_DELAY_SECONDS = 0.001
REMOTE_DELAY_SECONDS = 0.04
# Header of a masked websocket frame with a 16-bit length, and the authentication code.
FRAME_OVERHEAD_BYTES = 8 + signing.CODE_BYTES


class Network:
    """Members that exchange messages with a delay, with injectable faults.

    Args:
      sizes: Number of members by data centre.
      seed: Seed of the message losses and of the start of each member's first protocol period.
      loss: Fraction of messages that are lost.

    Attributes:
      nodes: Members by name, stopped ones included.
      paused: Names of members that neither send nor receive for now.
      down: Names of members that were stopped.
      partitioned: Data centres that cannot communicate with the others.
      queue: Heap of messages in transit as time of delivery, tie-breaker, sender, receiver and
        message.
    """

    def __init__(self, sizes: dict[str, int], seed: int = 1, loss: float = 0.0):
        self.clock = clocks.FakeClock()
        self.random = random.Random(seed)
        self.loss = loss
        self.nodes: dict[str, membership.Membership] = {}
        self.paused: set[str] = set()
        self.down: set[str] = set()
        self.partitioned: set[str] = set()
        self.queue: list[tuple[float, int, str, str, object]] = []
        self.tie_breaker = itertools.count()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.sent_messages: collections.Counter[str] = collections.Counter()
        for data_centre, size in sizes.items():
            for number in range(size):
                self.add(f"{data_centre}-{number}", data_centre, incarnation=1)

    def add(self, name: str, data_centre: str, incarnation: int) -> membership.Membership:
        """Add or restart a member that knows other members only from the VM list.

        Args:
          name: Name of the member, which is also its address.
          data_centre: Name of its data centre.
          incarnation: Number of its start.
        """
        own = wire.Member(name, data_centre, name, incarnation)
        node = membership.Membership(own, name)
        node.config_version = 1
        node.next_period = self.clock.monotonic() + self.random.random()
        self.nodes[name] = node
        self.down.discard(name)
        self._refresh_seeds()
        return node

    def _refresh_seeds(self) -> None:
        seeds_by_name = {name: (node.own.data_centre, name) for name, node in self.nodes.items()}
        for node in self.nodes.values():
            node.set_seeds(seeds_by_name)

    def kill(self, name: str) -> None:
        """Stop a member without notice to the others."""
        self.down.add(name)

    def partition(self, data_centres: set[str]) -> None:
        """Partition data centres from the others; an empty set heals the partition."""
        self.partitioned = data_centres

    def run(self, seconds: float) -> None:
        """Advance the clock in ticks, delivering messages and running the members' timers."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end - TICK_SECONDS / 2:
            self.clock.advance(TICK_SECONDS)
            self._deliver_due()
            for name in list(self.nodes):
                if self._is_running(name):
                    self.send(name, self.nodes[name].tick(self.clock.monotonic()))

    def send(self, name: str, outgoing: list[membership.Outgoing]) -> None:
        """Count a member's messages, and queue those that no loss or partition drops.

        Args:
          name: Name of the sender.
          outgoing: Messages with the addresses of their receivers.
        """
        for item in outgoing:
            size = len(wire.encode(item.message)) + FRAME_OVERHEAD_BYTES
            self.sent_bytes[name] += size
            self.sent_messages[name] += 1
            if self.random.random() >= self.loss and self._is_connected(name, item.address):
                is_local = self._data_centre(name) == self._data_centre(item.address)
                at = self.clock.monotonic() + (
                    LOCAL_DELAY_SECONDS if is_local else REMOTE_DELAY_SECONDS
                )
                entry = (at, next(self.tie_breaker), name, item.address, item.message)
                heapq.heappush(self.queue, entry)

    def _deliver_due(self) -> None:
        while self.queue and self.queue[0][0] <= self.clock.monotonic():
            _, _, _, address, message = heapq.heappop(self.queue)
            if self._is_running(address):
                self._receive(address, message)

    def _receive(self, name: str, message) -> None:
        node = self.nodes[name]
        self.send(name, node.receive(message, self.clock.monotonic()))
        gossip = getattr(message, "gossip", None)
        if gossip is not None and gossip.config_version > node.config_version:
            self.send(name, node.set_config_version(gossip.config_version))

    def _is_running(self, name: str) -> bool:
        return name in self.nodes and name not in self.down and name not in self.paused

    def _is_connected(self, sender: str, receiver: str) -> bool:
        if receiver not in self.nodes:
            return False
        return (self._data_centre(sender) in self.partitioned) == (
            self._data_centre(receiver) in self.partitioned
        )

    def _data_centre(self, name: str) -> str:
        return self.nodes[name].own.data_centre if name in self.nodes else ""

    def running(self) -> list[membership.Membership]:
        """Return the running members."""
        return [node for name, node in self.nodes.items() if self._is_running(name)]

    def states(self, name: str) -> set[str]:
        """Return the states in which the other running members have recorded a member.

        ``unknown`` is the state at a member that has no record of it.
        """
        found = set()
        for node in self.running():
            if node.own.name == name:
                continue
            entry = node.entries.get(name)
            found.add(entry.member.state.name.lower() if entry else "unknown")
        return found
