"""Selection of the routers that a caller should use, the response of `/v1/locate`."""

import dataclasses
import hashlib
import json

from bronzemux import vms

RESPONSE_TTL_SECONDS = 30
MAX_ADDRESSES = 4


@dataclasses.dataclass(frozen=True)
class RouterAddress:
    """A router that accepts requests of callers."""

    name: str
    data_centre: str
    address: str


def candidates(vm_list: tuple[vms.Vm, ...], unavailable: frozenset[str]) -> list[RouterAddress]:
    """Return the routers that accept new requests.

    Args:
      vm_list: VM list.
      unavailable: Names of routers that are draining or dead, or whose VM an operator drained.
    """
    return [
        RouterAddress(vm.name, vm.data_centre, vm.address)
        for vm in vm_list
        if vm.role == "router" and not vm.is_leaving and vm.name not in unavailable
    ]


def rank_for_caller(
    routers: list[RouterAddress],
    caller: str,
    data_centre: str,
    drained_data_centres: frozenset[str],
) -> list[RouterAddress]:
    """Return routers in the order in which a caller should try them.

    Routers in drained data centres come last, and routers in the caller's data centre come first
    among the others. Ties are broken by rendezvous hashing on the caller, which spreads callers
    evenly and moves few of them when a router joins or leaves.

    Args:
      routers: Routers that accept new requests.
      caller: Identifier of the caller, such as its IP address.
      data_centre: Data centre of the caller.
      drained_data_centres: Data centres that the preset in force drains.
    """

    def sort_key(router: RouterAddress):
        digest = hashlib.blake2b(f"{caller}|{router.name}".encode(), digest_size=8).digest()
        is_drained = router.data_centre in drained_data_centres
        return is_drained, router.data_centre != data_centre, digest

    return sorted(routers, key=sort_key)


def encode(routers: list[RouterAddress]) -> bytes:
    """Return the JSON body of the response."""
    body = {
        "routers": [dataclasses.asdict(router) for router in routers],
        "lifetime_seconds": RESPONSE_TTL_SECONDS,
    }
    return json.dumps(body).encode()
