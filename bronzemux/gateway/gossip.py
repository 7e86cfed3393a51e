"""Messages between gateways, as frozen data classes encoded in CBOR."""

import dataclasses
import itertools
import operator
import reprlib

import cbor2

from bronzemux import decimal_digits, errors, records
from bronzemux.gateway import rows


class GossipError(errors.BronzemuxError):
    """A message of another gateway cannot be decoded."""


@records.record
class Router:
    """State of a gateway as it announces it.

    Attributes:
      name: Name of its VM.
      boot: Unix time of its start in milliseconds.
      peer_address: Address to which other gateways connect.
      ingress_address: Address to which callers connect.
      data_centre: Name of its data centre.
      is_ready: Whether it accepts new callers.
      cpu_cores: CPU capacity, in cores of normal speed.
      sequence: Sequence number of its status message; a message with a lower one is outdated.
    """

    name: str
    boot: int
    peer_address: str
    ingress_address: str
    data_centre: str
    is_ready: bool
    cpu_cores: float = 1.0
    sequence: int = 0


@records.record
class Load:
    """Load of one endpoint.

    Attributes:
      endpoint: Identity of the endpoint.
      requests: Number of requests running or waiting there.
      tokens: Prompt tokens still to be prefilled.
      failure_hundredths: Decaying number of recent failures there, in hundredths.
      memory: Upper bound of the tokens that the requests, and KV backups of requests, occupy there.
    """

    endpoint: str
    requests: int
    tokens: int
    failure_hundredths: int = 0
    memory: int = 0


@records.record
class PrefixUpdate:
    """Announcement of a prompt prefix that is cached or being computed.

    Attributes:
      key: Key of the prefix.
      tokens: Number of tokens in its last part.
      holder: Incarnation of an endpoint, or address of a cache store.
      ready_in_ms: Milliseconds until the holder has it; zero or negative once it has.
    """

    key: bytes
    tokens: int
    holder: str
    ready_in_ms: int


@records.record
class CrashUpdate:
    """Announcement of an endpoint that crashed.

    Attributes:
      incarnation: Incarnation of the endpoint.
      fingerprints: Fingerprints of the requests that were lost there.
    """

    incarnation: str
    fingerprints: tuple[str, ...]


@records.record
class WeightsUpdate:
    """Announcement of the weights version that an endpoint has loaded or is loading.

    Attributes:
      incarnation: Incarnation of the endpoint.
      model: Name of the model.
      version: Version of the weights.
      is_loading: Whether the version is ordered but not loaded yet.
    """

    incarnation: str
    model: str
    version: int
    is_loading: bool


@records.record
class Status:
    """Periodic status message.

    A relay aggregates the loads and forwards the updates of other routers; `relaying` defines which
    of them each receiver gets.

    Attributes:
      router: The sender.
      scope: Value of `relaying.Scope`: the routers whose requests the loads cover.
      table_versions: Version of the newest change that the sender has, by table.
      is_following: Whether the sender follows the store and the store answers it.
      roster_checksum: Checksum of the roster that the receiver may request, 0 for none.
      loads: Loads of the endpoints.
      weights: Updates about the weights of endpoints.
      prefixes: Updates about cached prefixes.
      crashes: Updates about endpoints that crashed.
      lease_version: Version of the lease's row when the sender holds the lease, 0 otherwise.
      weights_targets: Model, weights version requested by the operator, and the age of that
        request in milliseconds.
      cache_store_epochs: Address and epoch of cache stores.
      suspects: Incarnations of endpoints that accept no connections.
    """

    router: Router
    scope: str
    table_versions: dict[str, int]
    is_following: bool = False
    roster_checksum: int = 0
    loads: tuple[Load, ...] = ()
    weights: tuple[WeightsUpdate, ...] = ()
    prefixes: tuple[PrefixUpdate, ...] = ()
    crashes: tuple[CrashUpdate, ...] = ()
    lease_version: int = 0
    weights_targets: tuple[tuple[str, int, int], ...] = ()
    cache_store_epochs: tuple[tuple[str, int], ...] = ()
    suspects: tuple[str, ...] = ()


@records.record
class LostReport:
    """Request that was lost in a crash.

    Attributes:
      fingerprints: Its fingerprints.
      sent_ms_ago: Milliseconds since it was sent to the endpoint.
    """

    fingerprints: tuple[str, ...]
    sent_ms_ago: int


@records.record
class CrashReport:
    """Crash of an endpoint that a router met.

    Attributes:
      incarnation: Incarnation of the endpoint.
      lost: Requests that were lost there.
    """

    incarnation: str
    lost: tuple[LostReport, ...]


@records.record
class VerdictReport:
    """Verdict about requests that crash endpoints.

    Attributes:
      members: Fingerprints that only these requests have all.
      crash: Endpoint and incarnation of the crash that led to the verdict.
      decided_ms_ago: Milliseconds since the decision.
      term_ms: Milliseconds after the decision at which the term ends.
    """

    members: tuple[str, ...]
    crash: str
    decided_ms_ago: int
    term_ms: int


@records.record
class QuarantineUpdate:
    """Crashes, cleared fingerprints and all verdicts in force.

    Attributes:
      router: The sender.
      scope: Value of `relaying.Scope`, which decides whether a relay forwards the first two.
      crashes: Crashes of endpoints.
      cleared: Fingerprints that are no longer suspected.
      verdicts: Verdicts, the newest first.
    """

    router: Router
    scope: str
    crashes: tuple[CrashReport, ...] = ()
    cleared: tuple[str, ...] = ()
    verdicts: tuple[VerdictReport, ...] = ()


@records.record
class RosterRequest:
    """Request for the roster of the receiver.

    Attributes:
      router: The sender.
    """

    router: Router


@records.record
class RosterReply:
    """Roster: a list of routers.

    Attributes:
      sender: Name of the sender.
      kind: Value of `routers.ListKind`: what the roster states about the routers.
      routers: The listed routers.
    """

    sender: str
    kind: str
    routers: tuple[Router, ...]


@records.record
class RowsRequest:
    """Request for all rows of a table.

    Attributes:
      table: Name of the table.
      reply_to: Peer address of the sender.
    """

    table: str
    reply_to: str


@records.record
class RowsReply:
    """All rows of the sender's replica of a table.

    Attributes:
      table: Name of the table.
      batch: Snapshot of the table.
      is_lapse_possible: Whether missing rows may only have expired during an outage of the store.
    """

    table: str
    batch: rows.Batch
    is_lapse_possible: bool = False


@records.record
class RowsChange:
    """Changed rows of a table, sent as soon as they change.

    Attributes:
      table: Name of the table.
      after: Version of the newest change that the sender had before.
      batch: The changed rows.
      is_lapse_possible: Whether removed rows may only have expired during an outage of the store.
    """

    table: str
    after: int
    batch: rows.Batch
    is_lapse_possible: bool = False


# Routers whose requests the loads of a status message cover; the values of `relaying.Scope`.
SCOPES = frozenset({"own", "data-centre", "all"})
# What a roster states about its routers; the values of `routers.ListKind`.
LIST_KINDS = frozenset({"heard", "view", "hint"})
KINDS = {
    "status": Status,
    "roster-request": RosterRequest,
    "roster-reply": RosterReply,
    "rows-request": RowsRequest,
    "rows-reply": RowsReply,
    "rows-change": RowsChange,
    "quarantine": QuarantineUpdate,
}
# Integers fit into signed 64-bit integers, so that arithmetic with floating-point numbers succeeds.
MAX_INTEGER = 2**63 - 1
INTEGERS = range(-MAX_INTEGER, MAX_INTEGER + 1)
COUNTS = range(MAX_INTEGER + 1)
MAX_CPU_CORES = 1e6
# Part of the cause of an error that its message contains.
MAX_CAUSE_LENGTH = 200
KIND_BY_TYPE = {kind: name for name, kind in KINDS.items()}
FIELD_NAMES = {
    kind: tuple(field.name for field in dataclasses.fields(kind))
    for kind in (
        *KINDS.values(),
        Router,
        CrashUpdate,
        LostReport,
        CrashReport,
        VerdictReport,
        rows.Batch,
    )
}
ROWS_TYPES = frozenset({RowsReply, RowsChange})
# Types whose values are all plain, with a function that returns them as a tuple. Messages contain
# many of them.
FLAT_TYPES = {
    kind: operator.attrgetter(*(field.name for field in dataclasses.fields(kind)))
    for kind in (Load, PrefixUpdate, WeightsUpdate, rows.Row)
}


def encode(message) -> bytes:
    """Return the encoded bytes of a message."""
    return cbor2.dumps([KIND_BY_TYPE[type(message)], _encode_values(message)])


def _encode_values(item):
    """Return a message or a part of one as nested lists and tuples of its values."""
    names = FIELD_NAMES.get(type(item))
    if names is not None:
        values = [_encode_values(getattr(item, name)) for name in names]
        # Routers of version 0.2.0 do not know the last field.
        return values[:-1] if type(item) in ROWS_TYPES and values[-1] is False else values
    if type(item) is tuple and item and type(item[0]) in FLAT_TYPES:
        return list(map(FLAT_TYPES[type(item[0])], item))
    if type(item) is tuple:
        return [_encode_values(entry) for entry in item]
    return item


def decode(data: bytes):
    """Return the decoded message, one of the types in `KINDS`.

    Raises:
      GossipError: When the bytes are not a valid message.
    """
    try:
        kind, values = cbor2.loads(data)
        decoder = DECODERS.get(_check_type(kind, str))
        if decoder is not None:
            return decoder(values)
    except Exception as error:  # noqa: BLE001 - the decoders of CBOR's tags raise many types
        raise GossipError(
            f"malformed peer message: {error!s:.{MAX_CAUSE_LENGTH}}",
            "run the same version on all VMs",
        ) from error
    raise GossipError(
        f"unknown kind of peer message: {reprlib.repr(kind)}", "run the same version on all VMs"
    )


def encode_router(router: Router) -> bytes:
    """Return the bytes with which a router registers; the sequence number in them is 0."""
    return cbor2.dumps(_encode_values(dataclasses.replace(router, sequence=0)))


def decode_router(data: bytes) -> Router:
    """Return a registered router.

    Raises:
      GossipError: When the bytes are not a valid registration.
    """
    try:
        return _decode_router(cbor2.loads(data))
    except Exception as error:  # noqa: BLE001 - the decoders of CBOR's tags raise many types
        raise GossipError(
            f"malformed router registration: {error!s:.{MAX_CAUSE_LENGTH}}", "remove its row"
        ) from error


def _decode_status(values) -> Status:
    (
        router,
        scope,
        versions,
        is_following,
        roster,
        loads,
        weights,
        prefixes,
        crashes,
        lease,
        targets,
        stores,
        suspects,
    ) = _check_length(values, 13)
    return Status(
        router=_decode_router(router),
        scope=_check_member(SCOPES, scope),
        table_versions={
            _check_type(name, str): _check_integer(v, INTEGERS) for name, v in versions.items()
        },
        is_following=_check_type(is_following, bool),
        roster_checksum=_check_integer(roster, COUNTS),
        loads=_decode_entries(Load, loads, str, COUNTS, COUNTS, COUNTS, COUNTS),
        weights=_decode_entries(WeightsUpdate, weights, str, str, COUNTS, bool),
        prefixes=_decode_entries(PrefixUpdate, prefixes, bytes, COUNTS, str, INTEGERS),
        crashes=tuple(
            CrashUpdate(
                _check_type(incarnation, str),
                tuple(_check_type(item, str) for item in fingerprints),
            )
            for incarnation, fingerprints in crashes
        ),
        lease_version=_check_integer(lease, COUNTS),
        weights_targets=tuple(
            (_check_type(m, str), _check_integer(v, COUNTS), _check_integer(age, INTEGERS))
            for m, v, age in targets
        ),
        cache_store_epochs=tuple(
            (_check_type(address, str), _check_integer(epoch, INTEGERS))
            for address, epoch in stores
        ),
        suspects=tuple(_check_type(incarnation, str) for incarnation in suspects),
    )


def _decode_quarantine_update(values) -> QuarantineUpdate:
    router, scope, crashes, cleared, verdicts = _check_length(values, 5)
    return QuarantineUpdate(
        _decode_router(router),
        _check_member(SCOPES, scope),
        tuple(_decode_crash_report(item) for item in crashes),
        _decode_texts(cleared),
        tuple(decode_verdict_report(item) for item in verdicts),
    )


def _decode_crash_report(values) -> CrashReport:
    incarnation, lost = _check_length(values, 2)
    return CrashReport(
        _check_type(incarnation, str),
        tuple(
            LostReport(_decode_texts(names), _check_integer(age, INTEGERS))
            for names, age in (_check_length(item, 2) for item in lost)
        ),
    )


def decode_verdict_report(values) -> VerdictReport:
    """Return a verdict from the list of its values.

    Raises:
      TypeError: When a value has another type.
      ValueError: When a number is out of range.
    """
    members, crash, age, term = _check_length(values, 4)
    return VerdictReport(
        _decode_texts(members),
        _check_type(crash, str),
        _check_integer(age, INTEGERS),
        _check_integer(term, INTEGERS),
    )


def _decode_texts(values) -> tuple[str, ...]:
    if not isinstance(values, list):
        raise TypeError(f"got {type(values).__name__}, expected a list")
    return tuple(_check_type(value, str) for value in values)


def _check_member(allowed: frozenset[str], value) -> str:
    if value not in allowed:
        raise TypeError(f"got {reprlib.repr(value)}, expected one of {sorted(allowed)}")
    return value


def _decode_entries(kind: type, values, *types: type | range) -> tuple:
    """Return instances of a data class from lists of plain values, whose types are checked.

    Args:
      kind: The data class.
      values: The lists of values.
      types: Type of each value, or the range of an integer.
    """
    if not isinstance(values, list):
        raise TypeError(f"got {type(values).__name__}, expected a list")
    if not values:
        return ()
    for column, expected in zip(zip(*values, strict=True), types, strict=True):
        expected_type = int if isinstance(expected, range) else expected
        for found in set(map(type, column)):
            if found is not expected_type:
                raise TypeError(f"got {found.__name__}, expected {expected_type.__name__}")
        if isinstance(expected, range):
            _check_integer(min(column), expected)
            _check_integer(max(column), expected)
    return tuple(itertools.starmap(kind, values))


def _decode_router(values) -> Router:
    name, boot, peer, ingress, data_centre, is_ready, cpu_cores, sequence = _check_length(values, 8)
    return Router(
        _check_type(name, str),
        _check_integer(boot, COUNTS),
        _check_address(peer),
        _check_type(ingress, str),
        _check_type(data_centre, str),
        _check_type(is_ready, bool),
        _check_cpu_cores(cpu_cores),
        _check_integer(sequence, COUNTS),
    )


def _decode_roster_reply(values) -> RosterReply:
    sender, kind, found = _check_length(values, 3)
    return RosterReply(
        _check_type(sender, str),
        _check_member(LIST_KINDS, kind),
        tuple(_decode_router(item) for item in found),
    )


def _decode_rows_request(values) -> RowsRequest:
    table, reply_to = _check_length(values, 2)
    return RowsRequest(_check_type(table, str), _check_address(reply_to))


def _decode_rows_reply(values) -> RowsReply:
    table, batch, is_lapse_possible = _check_length(_with_lapse_flag(values, 3), 3)
    return RowsReply(
        _check_type(table, str), _decode_batch(batch), _check_type(is_lapse_possible, bool)
    )


def _decode_rows_change(values) -> RowsChange:
    table, after, batch, is_lapse_possible = _check_length(_with_lapse_flag(values, 4), 4)
    return RowsChange(
        _check_type(table, str),
        _check_integer(after, INTEGERS),
        _decode_batch(batch),
        _check_type(is_lapse_possible, bool),
    )


def _with_lapse_flag(values, count: int):
    """Return the values of a message with rows, with the flag that may be omitted."""
    return [*values, False] if isinstance(values, list) and len(values) == count - 1 else values


def _decode_batch(values) -> rows.Batch:
    found, version, is_snapshot = _check_length(values, 3)
    decoded = _decode_entries(rows.Row, found, str, COUNTS, bytes, bool)
    return rows.Batch(decoded, _check_integer(version, INTEGERS), _check_type(is_snapshot, bool))


def _check_length(values, count: int):
    if not isinstance(values, list) or len(values) != count:
        raise TypeError(f"expected {count} values")
    return values


def _check_type(value, kind: type):
    if type(value) is not kind:
        raise TypeError(f"got {type(value).__name__}, expected {kind.__name__}")
    return value


def _check_integer(value, allowed: range) -> int:
    if _check_type(value, int) not in allowed:
        raise ValueError(f"got an integer that is not in {allowed}")
    return value


def _check_cpu_cores(value) -> float:
    if type(value) not in (int, float) or not 0 <= value <= MAX_CPU_CORES:
        raise ValueError(f"got {reprlib.repr(value)} CPU cores")
    return float(value)


def _check_address(value) -> str:
    host, _, port = _check_type(value, str).rpartition(":")
    if not host or decimal_digits.parse_port(port) is None:
        raise ValueError(f"got {reprlib.repr(value)}, expected an IP address and a port")
    return value


DECODERS = {
    "status": _decode_status,
    "roster-request": lambda values: RosterRequest(*map(_decode_router, _check_length(values, 1))),
    "roster-reply": _decode_roster_reply,
    "rows-request": _decode_rows_request,
    "rows-reply": _decode_rows_reply,
    "rows-change": _decode_rows_change,
    "quarantine": _decode_quarantine_update,
}
