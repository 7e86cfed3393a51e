"""Ranking of routers by CPU capacity, by which relays and advertised routers are chosen."""

import itertools

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


def advertised(found: list[gossip.Router]) -> list[gossip.Router]:
    """Return the routers to advertise: those with high CPU capacity while they suffice.

    Args:
      found: Routers; those that do not accept callers are ignored.
    """
    serving = [router for router in found if router.is_ready]
    least_capacity = HIGH_CAPACITY_FRACTION * max(
        (router.cpu_cores for router in serving), default=0.0
    )
    high_capacity = [router for router in serving if router.cpu_cores >= least_capacity]
    sufficient_capacity = SUFFICIENT_CAPACITY_FRACTION * sum(router.cpu_cores for router in serving)
    is_sufficient = sum(router.cpu_cores for router in high_capacity) >= sufficient_capacity
    return (
        high_capacity
        if is_sufficient and len(high_capacity) >= MIN_HIGH_CAPACITY_ROUTERS
        else serving
    )
