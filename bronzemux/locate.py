"""Answer to the question which routers a caller should use."""

import dataclasses
import hashlib
import json

from bronzemux import vms

LIFETIME_SECONDS = 30
MAX_ADDRESSES = 4


@dataclasses.dataclass(frozen=True)
class RouterAddress:
    """A router that callers may use."""

    name: str
    data_centre: str
    address: str


def candidates(listed: tuple[vms.Vm, ...], draining: frozenset[str]) -> list[RouterAddress]:
    """Return the routers that take new callers.

    Args:
      listed: VM list.
      draining: Names of routers that are draining, dead or left out by a preset.
    """
    return [
        RouterAddress(vm.name, vm.data_centre, vm.address)
        for vm in listed
        if vm.role == "router" and not vm.is_leaving and vm.name not in draining
    ]


def rank_for_caller(
    routers: list[RouterAddress], caller: str, data_centre: str, avoid: frozenset[str]
) -> list[RouterAddress]:
    """Return routers in the order in which a caller should try them.

    Routers of the caller's data centre come first; within a data centre rendezvous hashing by
    caller spreads callers evenly and moves few of them when a router comes or goes.

    Args:
      routers: Routers that take new callers.
      caller: Identity of the caller, such as its address.
      data_centre: Data centre of the caller.
      avoid: Data centres that a preset drains.
    """

    def sort_key(router: RouterAddress):
        digest = hashlib.blake2b(f"{caller}|{router.name}".encode(), digest_size=8).digest()
        is_drained = router.data_centre in avoid
        return is_drained, router.data_centre != data_centre, digest

    return sorted(routers, key=sort_key)


def encode(routers: list[RouterAddress]) -> bytes:
    """Return the JSON body of the answer."""
    body = {
        "routers": [dataclasses.asdict(router) for router in routers],
        "lifetime_seconds": LIFETIME_SECONDS,
    }
    return json.dumps(body).encode()
