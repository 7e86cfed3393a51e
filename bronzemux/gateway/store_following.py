"""Decision of a router whether it follows the platform's store itself.

In a full mesh each router does. With relays, `STORE_FOLLOWERS` of them in different data centres do,
and the others get the rows from these, either directly or through the relays of their data centre.
This module does no I/O.
"""

import zlib

import gevent.event

from bronzemux import clock as clocks
from bronzemux.gateway import gossip, relaying, routers, settings

# A router reads the store itself after this long without a status message from a router that
# follows the store. Including the read, this is well below the time within which a configuration
# must be in force.
RELAY_TIMEOUT_SECONDS = 1.0
# Until then, a router that hears of a follower leaves the store to it, because it may not know enough
# routers yet to see that it is no relay.
SETTLING_SECONDS = 3.0
# Relays that follow the store; the loss of two is tolerated.
STORE_FOLLOWERS = 3
# Additional delay, per rank, of the relays that replace followers.
FOLLOWER_RANK_SECONDS = 0.05
# Additional delay of the other routers, per router of the deployment: of N routers that lose their
# relays at the same time, the first reads the store at once and the last after N times this.
TAKEOVER_SPREAD_SECONDS = 0.02
# Time for which a router that has just started relies on its peers only: a few times the duration
# of three consecutive round trips between data centres.
PEERS_ONLY_SECONDS = 0.3


class StoreFollowing:
    """Whether this router follows the store, by what it hears of other followers.

    Attributes:
      follower_seen_at: Monotonic seconds of the last status message by which a relay follows the
        store or hears from one that does.
      preceding_follower_seen_at: The same, from relays before this one in the order of followers.
      needed: Set while this router has to access the store itself.

    Args:
      config: Settings of this gateway.
      table: Known routers.
      clock: Source of time.
    """

    def __init__(
        self, config: settings.GatewaySettings, table: routers.RouterTable, clock: clocks.Clock
    ):
        self.settings = config
        self.table = table
        self.clock = clock
        self.follower_seen_at = -1e9
        self.preceding_follower_seen_at = -1e9
        self.needed = gevent.event.Event()
        self.started_at = clock.monotonic()

    def is_needed(self) -> bool:
        """Return whether this router has to access the store, for rows and leases, itself.

        A router replaces the followers when it does not hear of one any more. Of routers that start
        together and do not know each other yet, those with the most CPU capacity go first.
        """
        now = self.clock.monotonic()
        has_other_seeds = any(
            seed != self.settings.reachable_address for seed in self.settings.seeds
        )
        if not has_other_seeds and not self.table.known:
            return True
        age = now - self.started_at
        if age < PEERS_ONLY_SECONDS:
            return False
        rank = self.table.store_rank(now)
        is_settled = age >= SETTLING_SECONDS or self.table.is_top_ranked(now)
        if rank is not None and rank < STORE_FOLLOWERS and is_settled:
            return True
        if age < RELAY_TIMEOUT_SECONDS:
            return False
        if rank is None:
            seen_at, delay = self.follower_seen_at, self._takeover_delay()
        else:
            seen_at, delay = self.preceding_follower_seen_at, rank * FOLLOWER_RANK_SECONDS
        return now - max(seen_at, self.started_at) > RELAY_TIMEOUT_SECONDS + delay

    def update(self) -> None:
        """Set or clear `needed`."""
        if self.is_needed():
            self.needed.set()
        else:
            self.needed.clear()

    def may_order_weights(self) -> bool:
        """Return whether this router may contend for the lease for orders to endpoints."""
        is_relay = self.table.store_rank(self.clock.monotonic()) is not None
        return is_relay and self.is_needed()

    def _takeover_delay(self) -> float:
        """Return by how many seconds this router, which is no relay, lets others go first."""
        count = 1 + len(self.table.known)
        position = zlib.crc32(self.table.own.name.encode()) % count
        return position * TAKEOVER_SPREAD_SECONDS

    def pause_factor(self) -> float:
        """Return by how much this router extends its pauses between failed calls to the store.

        A router that is no relay does so by the number of routers, so that all of them together
        call the store at the same rate in a deployment of any size.
        """
        if self.table.store_rank(self.clock.monotonic()) is not None:
            return 1.0
        return max(1.0, (1 + len(self.table.known)) / routers.MAX_MESH_ROUTERS)

    def record_follower(self, message: gossip.Status) -> None:
        """Record a status message that says that its sender can be relied on for the rows."""
        now = self.clock.monotonic()
        topology = self.table.current_topology(now)
        name = message.router.name
        own_rank = self.table.store_rank(now)
        if own_rank is None or topology.is_mesh:
            self.follower_seen_at = self.preceding_follower_seen_at = now
            return
        if name not in topology.store_order:
            return
        # A statement about other routers is not repeated, as two relays could repeat it to each
        # other forever.
        if relaying.Scope(message.scope) is not relaying.Scope.ALL:
            self.follower_seen_at = now
        if topology.store_order.index(name) < own_rank:
            self.preceding_follower_seen_at = now

    def hears_follower(self) -> bool:
        """Return whether a relay recently stated that it follows the store."""
        return self.clock.monotonic() - self.follower_seen_at < RELAY_TIMEOUT_SECONDS
