"""Messages between routers: versioned frozen data classes, encoded as CBOR."""

import dataclasses
import enum

import cbor2

from bronzemux import errors, vms

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024


class WireError(errors.BronzemuxError):
    """A message of another router cannot be decoded."""


class MemberState(enum.IntEnum):
    """State of a member; of two states of one incarnation, the greater one holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True)
class Member:
    """What routers tell of a router.

    Attributes:
      name: Name of its VM.
      data_centre: Data centre of its VM.
      address: IP number and port for other routers.
      incarnation: Number that only the member itself raises.
      state: State.
      is_draining: Whether it takes no new callers.
      boot: Identity of its process: UTC milliseconds of its start.
    """

    name: str
    data_centre: str
    address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    is_draining: bool = False
    boot: int = 0


@dataclasses.dataclass(frozen=True)
class Gossip:
    """What every probe and answer carries.

    Attributes:
      sender: The sender itself.
      config_version: Version of the configuration that the sender has in force.
      members: Changes of members.
      condemned: Fingerprints of requests that crash endpoints.
    """

    sender: Member
    config_version: int
    members: tuple[Member, ...] = ()
    condemned: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Ping:
    """Probe of a member."""

    sequence: int
    gossip: Gossip


@dataclasses.dataclass(frozen=True)
class Ack:
    """Answer to a probe.

    Attributes:
      sequence: Number of the probe.
      gossip: What the answer carries.
      subject: Name of the member that answered, when another one passes it on.
    """

    sequence: int
    gossip: Gossip
    subject: str


@dataclasses.dataclass(frozen=True)
class PingRequest:
    """Ask a member to probe another one."""

    sequence: int
    gossip: Gossip
    target: Member


@dataclasses.dataclass(frozen=True)
class SyncRequest:
    """Ask for all members, condemned fingerprints and the configuration's version."""

    gossip: Gossip


@dataclasses.dataclass(frozen=True)
class Sync:
    """Answer to a `SyncRequest`."""

    gossip: Gossip


@dataclasses.dataclass(frozen=True)
class ConfigRequest:
    """Ask for the configuration when it is newer than a version."""

    sender: Member
    have: int


@dataclasses.dataclass(frozen=True)
class ConfigWhole:
    """A configuration head, encoded by `config_store.encode`."""

    head: bytes


@dataclasses.dataclass(frozen=True)
class ConfigDelta:
    """Difference of two encoded heads: one changed range.

    Attributes:
      base: Version that it applies to.
      start: Bytes that both have in common at the beginning.
      end: Bytes that both have in common at the end.
      middle: Bytes between them in the new head.
      digest: Digest of the new head.
    """

    base: int
    start: int
    end: int
    middle: bytes
    digest: bytes


@dataclasses.dataclass(frozen=True)
class Demand:
    """Use of a team's limits at one router.

    Attributes:
      sender: The router.
      teams: Team and requests a second.
    """

    sender: Member
    teams: tuple[tuple[str, float], ...]


@dataclasses.dataclass(frozen=True)
class Grant:
    """Parts of teams' limits that a router may grant for a while.

    Attributes:
      shares: Team and part, 0 to 1.
      seconds: How long it holds.
    """

    shares: tuple[tuple[str, float], ...]
    seconds: float


@dataclasses.dataclass(frozen=True)
class VmChanges:
    """Change of the VM list that a relay passes on in its data centre.

    Attributes:
      listed: VMs that are new or changed.
      gone: Names of VMs that are no longer listed.
    """

    listed: tuple[vms.Vm, ...]
    gone: tuple[str, ...]


TYPES = (
    Ping,
    Ack,
    PingRequest,
    SyncRequest,
    Sync,
    ConfigRequest,
    ConfigWhole,
    ConfigDelta,
    Demand,
    Grant,
    VmChanges,
)
CODES = {kind: code for code, kind in enumerate(TYPES)}


def encode(message) -> bytes:
    """Return a message as bytes.

    Args:
      message: Instance of one of `TYPES`.
    """
    return cbor2.dumps([WIRE_VERSION, CODES[type(message)], *dataclasses.astuple(message)])


def decode(content: bytes):
    """Return the message that bytes hold.

    Raises:
      WireError: When the version or the form is unknown.
    """
    if len(content) > MAX_MESSAGE_BYTES:
        raise WireError("the message is too long", "check the sender")
    try:
        version, code, *fields = cbor2.loads(content)
        if version != WIRE_VERSION:
            raise WireError(f"unknown wire version {version!r}", "upgrade the older router")
        kind = TYPES[code]
        names = [field.name for field in dataclasses.fields(kind)]
        if len(fields) != len(names):
            raise WireError("the number of fields differs", "upgrade the older router")
        pairs = zip(names, fields, strict=True)
        return kind(**{name: _restore(name, value) for name, value in pairs})
    except WireError:
        raise
    except (ValueError, TypeError, IndexError, EOFError, KeyError, OverflowError) as error:
        raise WireError(f"the message has another form: {error!r}", "check the sender") from error
    except (cbor2.CBORDecodeError, RecursionError) as error:
        raise WireError(f"the message is not CBOR: {error}", "check the sender") from error


def _restore(name: str, value):
    """Return the value of a field from its decoded form."""
    if name in ("sender", "target"):
        return _member(value)
    if name == "gossip":
        return _gossip(value)
    if name in ("teams", "shares"):
        return tuple((str(team), float(number)) for team, number in value)
    if name == "listed":
        return tuple(_vm(item) for item in value)
    if name == "gone":
        return tuple(_typed(item, str) for item in value)
    if name in ("head", "middle", "digest"):
        return _typed(value, bytes)
    if name == "seconds":
        return float(value)
    if name == "subject":
        return _typed(value, str)
    return _typed(value, int)


def _typed(value, kind):
    if type(value) is not kind:
        raise TypeError(f"found {type(value).__name__}, expected {kind.__name__}")
    return value


def _member(fields) -> Member:
    name, data_centre, address, incarnation, state, is_draining, boot = fields
    texts = [_typed(text, str) for text in (name, data_centre, address)]
    number = _typed(incarnation, int)
    return Member(*texts, number, MemberState(state), bool(is_draining), _typed(boot, int))


def _vm(fields) -> vms.Vm:
    name, data_centre, address, role, is_leaving, peer_address = fields
    texts = [_typed(text, str) for text in (name, data_centre, address, role)]
    return vms.Vm(*texts, _typed(is_leaving, bool), _typed(peer_address, str))


def _gossip(fields) -> Gossip:
    sender, version, members, condemned = fields
    return Gossip(
        _member(sender),
        _typed(version, int),
        tuple(_member(member) for member in members),
        tuple(_typed(item, str) for item in condemned),
    )
