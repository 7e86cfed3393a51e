"""Ranking of routers by CPU capacity, by which relays and advertised routers are chosen."""

import itertools

from bronzemux import records
from bronzemux.gateway import gossip

# When one relay of a data centre is lost, the other one remains while the next is chosen.
RELAYS_PER_DATA_CENTRE = 2
# A router below this fraction of the highest CPU capacity takes at least twice as long for each
# request. It is not advertised while the other routers have enough of the total capacity.
HIGH_CAPACITY_FRACTION = 0.5
# Fraction of the total CPU capacity that suffices to serve all callers.
SUFFICIENT_CAPACITY_FRACTION = 0.5
# With fewer high-capacity routers, the loss of one would affect too many callers.
MIN_HIGH_CAPACITY_ROUTERS = 4


@records.record
class Coordination:
    """How closely the routers coordinate their choices of endpoints.

    A router knows its own requests at once and those of the others by status messages, which may
    take longer than an engine takes for a request. The fewer routers serve callers, and the more
    often they exchange messages, the better each knows the load.

    Attributes:
      status_seconds: Interval of the status messages of routers that serve callers, and of relays.
      high_capacity_fraction: Least capacity of an advertised router, as a fraction of the highest
        one, while those routers have sufficient capacity.
      sufficient_capacity_fraction: Fraction of the total CPU capacity that suffices to serve all
        callers.
    """

    status_seconds: float
    high_capacity_fraction: float = HIGH_CAPACITY_FRACTION
    sufficient_capacity_fraction: float = SUFFICIENT_CAPACITY_FRACTION


# Four messages per second spread updates well within the second after which callers give up
# connecting.
USUAL_COORDINATION = Coordination(0.25)
# For streams that are late after a short pause: an engine reads a long prompt in about the interval.
CLOSE_COORDINATION = Coordination(0.1, sufficient_capacity_fraction=0.33)


def coordination_for(longest_pause_seconds: float, min_pause_seconds: float) -> Coordination:
    """Return how closely the routers of a deployment coordinate.

    Args:
      longest_pause_seconds: Longest objective for pauses of a stream in its configuration.
      min_pause_seconds: Shortest one from which on the routers coordinate closely.
    """
    is_close = longest_pause_seconds >= min_pause_seconds
    return CLOSE_COORDINATION if is_close else USUAL_COORDINATION


def sort_key(router: gossip.Router) -> tuple[float, str]:
    """Return the sort key by descending CPU capacity, then name; it is the same on all routers."""
    return (-router.cpu_cores, router.name)


def top_by_capacity(
    found, data_centre: str, count: int = RELAYS_PER_DATA_CENTRE
) -> list[gossip.Router]:
    """Return the routers of a data centre with the most CPU capacity, in descending order.

    Args:
      found: Routers of any data centre.
      data_centre: Name of the data centre.
      count: Greatest number of routers to return.
    """
    local = [router for router in found if router.data_centre == data_centre]
    return sorted(local, key=sort_key)[:count]


def store_order(found: list[gossip.Router]) -> list[gossip.Router]:
    """Return the relays of all data centres in the order in which they follow the store.

    The first relay of each data centre comes before any second one, so that the first few are in
    different data centres.

    Args:
      found: Routers of all data centres.
    """
    data_centres = sorted({router.data_centre for router in found})
    relays = [top_by_capacity(found, data_centre) for data_centre in data_centres]
    rounds = itertools.zip_longest(*relays)
    return [
        router
        for entries in rounds
        for router in sorted((entry for entry in entries if entry is not None), key=sort_key)
    ]


def advertised(
    found: list[gossip.Router], coordination: Coordination = USUAL_COORDINATION
) -> list[gossip.Router]:
    """Return the routers to advertise: those with high CPU capacity while they suffice.

    Args:
      found: Routers; those that do not accept callers are ignored.
      coordination: How closely the routers coordinate.
    """
    serving = [router for router in found if router.is_ready]
    least_capacity = coordination.high_capacity_fraction * max(
        (router.cpu_cores for router in serving), default=0.0
    )
    high_capacity = [router for router in serving if router.cpu_cores >= least_capacity]
    total_capacity = sum(router.cpu_cores for router in serving)
    sufficient_capacity = coordination.sufficient_capacity_fraction * total_capacity
    is_sufficient = sum(router.cpu_cores for router in high_capacity) >= sufficient_capacity
    return (
        high_capacity
        if is_sufficient and len(high_capacity) >= MIN_HIGH_CAPACITY_ROUTERS
        else serving
    )
