"""Messages between routers: versioned frozen data classes, encoded as CBOR."""

import dataclasses
import enum

import cbor2

from bronzemux import errors, vms

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024


class WireError(errors.BronzemuxError):
    """A message from another router cannot be decoded."""


class MemberState(enum.IntEnum):
    """State of a member; of two states with the same incarnation, the greater one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True)
class Member:
    """Description of a router in gossip.

    Attributes:
      name: Name of its VM.
      data_centre: Data centre of its VM.
      address: IP address and port at which other routers reach it.
      incarnation: Number that only the member itself increases.
      state: State of the member as the sender knows it.
      is_draining: Whether it accepts no new callers.
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
    """Membership updates that every ping, ack and sync carries.

    Attributes:
      sender: The sending router.
      config_version: Version of the configuration in force at the sender.
      members: Members whose description changed; all members in a `Sync`.
      condemned: Fingerprints of requests that crash endpoints.
    """

    sender: Member
    config_version: int
    members: tuple[Member, ...] = ()
    condemned: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Ping:
    """Probe of a member, answered by an `Ack`.

    Attributes:
      sequence: Number of the probe.
      gossip: Updates of the sender.
    """

    sequence: int
    gossip: Gossip


@dataclasses.dataclass(frozen=True)
class Ack:
    """Reply to a `Ping` or `PingRequest`.

    Attributes:
      sequence: Number of the probe.
      gossip: Updates of the sender.
      subject: Name of the probed member, which differs from the sender of a forwarded ack.
    """

    sequence: int
    gossip: Gossip
    subject: str


@dataclasses.dataclass(frozen=True)
class PingRequest:
    """Request to probe another member and forward its ack.

    Attributes:
      sequence: Number of the probe.
      gossip: Updates of the sender.
      target: The member to probe.
    """

    sequence: int
    gossip: Gossip
    target: Member


@dataclasses.dataclass(frozen=True)
class SyncRequest:
    """Request for all members, quarantined fingerprints and the configuration's version."""

    gossip: Gossip


@dataclasses.dataclass(frozen=True)
class Sync:
    """Reply to a `SyncRequest`."""

    gossip: Gossip


@dataclasses.dataclass(frozen=True)
class ConfigRequest:
    """Request for the configuration, answered when the receiver has a newer version.

    Attributes:
      sender: The requesting router.
      have: Version that the sender has, 0 to receive the whole configuration.
    """

    sender: Member
    have: int


@dataclasses.dataclass(frozen=True)
class ConfigWhole:
    """Reply to a `ConfigRequest`: a configuration head, encoded by `config_store.encode`."""

    head: bytes


@dataclasses.dataclass(frozen=True)
class ConfigDelta:
    """Reply to a `ConfigRequest`: the changed byte range between two encoded heads.

    Attributes:
      base: Version that the delta applies to.
      start: Length in bytes of the common prefix.
      end: Length in bytes of the common suffix.
      middle: Bytes of the new head between the prefix and the suffix.
      digest: Digest of the new head.
    """

    base: int
    start: int
    end: int
    middle: bytes
    digest: bytes


@dataclasses.dataclass(frozen=True)
class Demand:
    """Report of a router to an owner of teams, answered by a `Grant`.

    Attributes:
      sender: The reporting router.
      teams: Name and requests per second of each team.
    """

    sender: Member
    teams: tuple[tuple[str, float], ...]


@dataclasses.dataclass(frozen=True)
class Grant:
    """Shares of teams' limits that a router may use for a limited time.

    Attributes:
      shares: Name and share, 0 to 1, of each team.
      seconds: Time after which the grant expires.
    """

    shares: tuple[tuple[str, float], ...]
    seconds: float


@dataclasses.dataclass(frozen=True)
class VmChanges:
    """Changes of the VM list, which a relay sends to the other routers of its data centre.

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
TYPE_CODES = {kind: code for code, kind in enumerate(TYPES)}


def encode(message) -> bytes:
    """Return the encoded message.

    Args:
      message: Instance of one of `TYPES`.
    """
    return cbor2.dumps([WIRE_VERSION, TYPE_CODES[type(message)], *dataclasses.astuple(message)])


def decode(content: bytes):
    """Return the decoded message.

    Args:
      content: Result of `encode`, of at most `MAX_MESSAGE_BYTES`.

    Raises:
      WireError: When the content is too long, is not CBOR, has another wire version or is not a
        valid message of one of `TYPES`.
    """
    if len(content) > MAX_MESSAGE_BYTES:
        raise WireError("the message exceeds the size limit", "check the sender")
    try:
        version, code, *fields = cbor2.loads(content)
        if version != WIRE_VERSION:
            raise WireError(f"unknown wire version {version!r}", "upgrade the older router")
        kind = TYPES[code]
        names = [field.name for field in dataclasses.fields(kind)]
        if len(fields) != len(names):
            raise WireError(
                "the message has the wrong number of fields", "upgrade the older router"
            )
        pairs = zip(names, fields, strict=True)
        return kind(**{name: _decode_field(name, value) for name, value in pairs})
    except WireError:
        raise
    except (ValueError, TypeError, IndexError, EOFError, KeyError, OverflowError) as error:
        raise WireError(f"the message is malformed: {error!r}", "check the sender") from error
    except (cbor2.CBORDecodeError, RecursionError) as error:
        raise WireError(f"the message is not CBOR: {error}", "check the sender") from error


def _decode_field(name: str, value):
    """Return the value of a field from its CBOR form.

    Args:
      name: Name of the field, which selects the expected type.
      value: Decoded CBOR.
    """
    if name in ("sender", "target"):
        return _decode_member(value)
    if name == "gossip":
        return _decode_gossip(value)
    if name in ("teams", "shares"):
        return tuple((str(team), float(number)) for team, number in value)
    if name == "listed":
        return tuple(_decode_vm(item) for item in value)
    if name == "gone":
        return tuple(_checked(item, str) for item in value)
    if name in ("head", "middle", "digest"):
        return _checked(value, bytes)
    if name == "seconds":
        return float(value)
    if name == "subject":
        return _checked(value, str)
    return _checked(value, int)


def _checked(value, kind):
    if type(value) is not kind:
        raise TypeError(f"found {type(value).__name__}, expected {kind.__name__}")
    return value


def _decode_member(fields) -> Member:
    name, data_centre, address, incarnation, state, is_draining, boot = fields
    strings = [_checked(text, str) for text in (name, data_centre, address)]
    incarnation_number = _checked(incarnation, int)
    return Member(
        *strings, incarnation_number, MemberState(state), bool(is_draining), _checked(boot, int)
    )


def _decode_vm(fields) -> vms.Vm:
    name, data_centre, address, role, is_leaving, peer_address = fields
    strings = [_checked(text, str) for text in (name, data_centre, address, role)]
    return vms.Vm(*strings, _checked(is_leaving, bool), _checked(peer_address, str))


def _decode_gossip(fields) -> Gossip:
    sender, version, members, condemned = fields
    return Gossip(
        _decode_member(sender),
        _checked(version, int),
        tuple(_decode_member(member) for member in members),
        tuple(_checked(item, str) for item in condemned),
    )
