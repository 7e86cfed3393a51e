"""VM list of the platform, which may be out of date.

It holds the running VMs, including those about to be removed.
"""

import dataclasses

from bronzemux import clock as clocks
from bronzemux import errors, http_client, logs, plain_values


@dataclasses.dataclass(frozen=True)
class Vm:
    """One VM of the platform's list.

    Attributes:
      name: Name of the VM.
      data_centre: Its data centre.
      address: IP address and port of the process on it.
      role: ``router`` or ``endpoint``.
      is_leaving: Whether the platform is about to remove it.
      peer_address: IP address and port at which other routers reach it; empty for endpoints.
    """

    name: str
    data_centre: str
    address: str
    role: str
    is_leaving: bool = False
    peer_address: str = ""


@dataclasses.dataclass(frozen=True)
class Changes:
    """Difference of two VM lists.

    Attributes:
      listed: VMs that are new or changed.
      gone: Names of VMs that are no longer listed.
    """

    listed: tuple[Vm, ...] = ()
    gone: tuple[str, ...] = ()


def diff(old: tuple[Vm, ...], new: tuple[Vm, ...]) -> Changes:
    """Return the changes that lead from one list to another.

    Args:
      old: The list before.
      new: The list after.
    """
    old_by_name = {vm.name: vm for vm in old}
    names = {vm.name for vm in new}
    listed = tuple(vm for vm in new if old_by_name.get(vm.name) != vm)
    return Changes(listed, tuple(name for name in old_by_name if name not in names))


def apply(old: tuple[Vm, ...], change: Changes) -> tuple[Vm, ...]:
    """Return a list with changes applied; VMs not named in the changes are kept.

    Args:
      old: The list before.
      change: The changes.
    """
    kept = {vm.name: vm for vm in old if vm.name not in change.gone}
    return tuple((kept | {vm.name: vm for vm in change.listed}).values())


class VmList:
    """Interface of the platform's VM list."""

    def list(self) -> tuple[Vm, ...]:
        """Return the VMs that the platform knows.

        Raises:
          errors.PlatformUnavailableError: When the platform sent no response.
        """
        raise NotImplementedError


class MemoryVmList(VmList):
    """VM list in memory.

    Args:
      vms: Initial VMs.
    """

    def __init__(self, vms: tuple[Vm, ...] = ()):
        self.vms = {vm.name: vm for vm in vms}

    def list(self) -> tuple[Vm, ...]:
        """Return all VMs."""
        return tuple(self.vms.values())

    def set_leaving(self, name: str) -> None:
        """Mark a VM as leaving.

        Args:
          name: Name of the VM.
        """
        self.vms[name] = dataclasses.replace(self.vms[name], is_leaving=True)


class HttpVmList(VmList):
    """VM list fetched over HTTP as CBOR.

    Args:
      settings: Address and timeout of the platform service.
      clock: Source of time, which bounds the rate of log lines on malformed rows.
    """

    def __init__(
        self, settings: http_client.PlatformServiceSettings, clock: clocks.Clock | None = None
    ):
        self.client = http_client.PlatformServiceClient(settings)
        self.repeats = logs.RepeatFilter(clock or clocks.SystemClock())

    def list(self) -> tuple[Vm, ...]:
        """Return the VMs that the platform knows, without malformed rows."""
        response = self.client.exchange("GET", "/vms", b"", is_write=False)
        try:
            rows = plain_values.items(plain_values.load_cbor(response.body))
        except plain_values.CHECK_ERRORS as error:
            failure = errors.PlatformUnavailableError(
                f"the VM list is malformed: {plain_values.cause(error)}", "check the VM service"
            )
            self.repeats.event("vm_list_rejected", "", cause=str(failure))
            raise failure from error
        found = []
        for row in rows:
            try:
                found.append(decode(row))
            except VmRowError as error:
                self.repeats.event("vm_row_rejected", "", cause=str(error))
        return tuple(found)


class VmRowError(errors.PlatformError):
    """A row of the VM list cannot be decoded."""


def decode(row) -> Vm:
    """Return the VM of a row, a mapping by the names of the fields; others are ignored.

    Raises:
      VmRowError: When a field is missing or malformed.
    """
    try:
        fields = plain_values.typed(row, dict)
        peer_address = fields.get("peer_address", "")
        return Vm(
            name=plain_values.name(fields.get("name")),
            data_centre=plain_values.name(fields.get("data_centre")),
            address=plain_values.address(fields.get("address")),
            role=plain_values.name(fields.get("role")),
            is_leaving=plain_values.typed(fields.get("is_leaving", False), bool),
            peer_address=plain_values.address(peer_address) if peer_address != "" else "",
        )
    except plain_values.CHECK_ERRORS as error:
        raise VmRowError(
            f"a row of the VM list is malformed: {plain_values.cause(error)}",
            "correct the program that registered the VM",
        ) from error
