"""VM list: live and leaving VMs, with a lag."""

import dataclasses

import cbor2

from bronzemux import http_client


@dataclasses.dataclass(frozen=True)
class Vm:
    """One VM of the platform's list.

    Attributes:
      name: Name of the VM.
      data_centre: Its data centre.
      address: IP number and port of the process on it.
      role: ``router`` or ``endpoint``.
      is_leaving: Whether the platform is about to take it away.
      peer_address: IP number and port for other routers; empty for endpoints.
    """

    name: str
    data_centre: str
    address: str
    role: str
    is_leaving: bool = False
    peer_address: str = ""


class VmList:
    """Interface of the platform's VM list."""

    def list(self) -> tuple[Vm, ...]:
        """Return the VMs as far as the platform knows.

        Raises:
          errors.PlatformUnavailableError: When the service gave no answer.
        """
        raise NotImplementedError


class MemoryVmList(VmList):
    """VM list in memory."""

    def __init__(self, vms: tuple[Vm, ...] = ()):
        self.vms = {vm.name: vm for vm in vms}

    def list(self) -> tuple[Vm, ...]:
        """Return all VMs."""
        return tuple(self.vms.values())

    def set_leaving(self, name: str) -> None:
        """Mark a VM as leaving."""
        self.vms[name] = dataclasses.replace(self.vms[name], is_leaving=True)


class HttpVmList(VmList):
    """VM list over HTTP with a CBOR body.

    Args:
      settings: Address and timeout.
    """

    def __init__(self, settings: http_client.ServiceSettings):
        self.client = http_client.ServiceClient(settings)

    def list(self) -> tuple[Vm, ...]:
        """Return the VMs as far as the platform knows."""
        answer = self.client.exchange("GET", "/vms", b"", is_write=False)
        return tuple(Vm(**item) for item in cbor2.loads(answer.body))
