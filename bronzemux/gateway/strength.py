"""Which routers are strong: these are relays, and serve callers while they suffice."""

from bronzemux.gateway import gossip

# Relays of a data centre: the loss of one leaves the other while the next is chosen.
RELAYS = 2
# A router below this part of the strongest one's processor takes twice as long for each request;
# it is a reserve while the others have enough of all processors together.
STRONG_SHARE = 0.5
ENOUGH_SHARE = 0.5
# Fewer strong routers than this would make the loss of one felt by too many callers.
MIN_STRONG = 4


def key(router: gossip.Router) -> tuple[float, str]:
    """Return the key that sorts the strongest router first, the same way everywhere."""
    return (-router.cpu_cores, router.name)


def strongest(found, data_centre: str, count: int = RELAYS) -> list[gossip.Router]:
    """Return the strongest routers of a data centre, the strongest first.

    Args:
      found: Routers.
      data_centre: Where they are.
      count: How many at most.
    """
    local = [router for router in found if router.data_centre == data_centre]
    return sorted(local, key=key)[:count]


def named(found: list[gossip.Router]) -> list[gossip.Router]:
    """Return the routers that callers are told to use: the strong ones while they suffice.

    Args:
      found: Routers; those that take no callers are left out.
    """
    serving = [router for router in found if router.is_ready]
    least = STRONG_SHARE * max((router.cpu_cores for router in serving), default=0.0)
    strong = [router for router in serving if router.cpu_cores >= least]
    enough = ENOUGH_SHARE * sum(router.cpu_cores for router in serving)
    is_enough = sum(router.cpu_cores for router in strong) >= enough
    return strong if is_enough and len(strong) >= MIN_STRONG else serving
