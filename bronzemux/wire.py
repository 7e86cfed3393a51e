"""Messages between routers: versioned frozen data classes, encoded as CBOR."""

import dataclasses
import enum

import cbor2

from bronzemux import errors, plain_values, vms

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# A member raises its own number above the one that a message shows, at most to this.
MAX_INCARNATION = 2**62
MAX_REQUESTS_PER_SECOND = 1e9
MAX_GRANT_SECONDS = 60.0
MIN_SHARE = 1e-9
SHARE_ROUNDING = 1e-6


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
        version, code, *fields = plain_values.items(plain_values.load_cbor(content))
        if plain_values.integer(version) != WIRE_VERSION:
            raise WireError(f"unknown wire version {version}", "upgrade the older router")
        kind = TYPES[plain_values.integer(code, maximum=len(TYPES) - 1)]
        names = [field.name for field in dataclasses.fields(kind)]
        if len(fields) != len(names):
            raise WireError(
                "the message has the wrong number of fields", "upgrade the older router"
            )
        pairs = zip(names, fields, strict=True)
        return kind(**{name: FIELD_DECODERS[name](value) for name, value in pairs})
    except (*plain_values.CHECK_ERRORS, vms.VmRowError) as error:
        raise WireError(
            f"the message is malformed: {plain_values.cause(error)}", "check the sender"
        ) from error


def _decode_member(value) -> Member:
    name, data_centre, address, incarnation, state, is_draining, boot = plain_values.items(value, 7)
    return Member(
        plain_values.name(name),
        plain_values.name(data_centre),
        plain_values.address(address),
        plain_values.integer(incarnation, maximum=MAX_INCARNATION),
        MemberState(plain_values.integer(state, maximum=max(MemberState))),
        plain_values.typed(is_draining, bool),
        plain_values.integer(boot),
    )


def _decode_vm(value) -> vms.Vm:
    # The order of the fields of `vms.Vm`.
    names = [field.name for field in dataclasses.fields(vms.Vm)]
    return vms.decode(dict(zip(names, plain_values.items(value, len(names)), strict=True)))


def _decode_gossip(value) -> Gossip:
    sender, version, members, condemned = plain_values.items(value, 4)
    return Gossip(
        _decode_member(sender),
        plain_values.integer(version),
        tuple(_decode_member(member) for member in plain_values.items(members)),
        _decode_names(condemned),
    )


def _decode_names(value) -> tuple[str, ...]:
    return tuple(plain_values.name(item) for item in plain_values.items(value))


def _decode_rates(value) -> tuple[tuple[str, float], ...]:
    pairs = [plain_values.items(item, 2) for item in plain_values.items(value)]
    return tuple(
        (plain_values.name(team), plain_values.number(rate, MAX_REQUESTS_PER_SECOND))
        for team, rate in pairs
    )


def _decode_shares(value) -> tuple[tuple[str, float], ...]:
    pairs = [plain_values.items(item, 2) for item in plain_values.items(value)]
    return tuple((plain_values.name(team), _decode_share(share)) for team, share in pairs)


def _decode_share(value) -> float:
    # The sum that makes a whole share may be rounded up. Rates are divided by a share.
    share = min(1.0, plain_values.number(value, 1.0 + SHARE_ROUNDING))
    if share < MIN_SHARE:
        raise ValueError(f"got the share {share:g}, expected at least {MIN_SHARE:g}")
    return share


def _decode_bytes(value) -> bytes:
    return plain_values.typed(value, bytes)


FIELD_DECODERS = {
    "sender": _decode_member,
    "target": _decode_member,
    "gossip": _decode_gossip,
    "teams": _decode_rates,
    "shares": _decode_shares,
    "listed": lambda value: tuple(_decode_vm(item) for item in plain_values.items(value)),
    "gone": _decode_names,
    "head": _decode_bytes,
    "middle": _decode_bytes,
    "digest": _decode_bytes,
    "seconds": lambda value: plain_values.number(value, MAX_GRANT_SECONDS),
    "subject": plain_values.name,
    "sequence": plain_values.integer,
    "have": plain_values.integer,
    "base": plain_values.integer,
    "start": plain_values.integer,
    "end": plain_values.integer,
}
