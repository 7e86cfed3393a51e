"""Messages between gateways, as frozen data classes encoded in CBOR."""

import dataclasses

import cbor2

from bronzemux import errors
from bronzemux.gateway import rows


class GossipError(errors.BronzemuxError):
    """A message of another gateway cannot be decoded."""


@dataclasses.dataclass(frozen=True)
class Router:
    """What a gateway tells of itself.

    Attributes:
      name: Name of its VM.
      boot: UTC milliseconds of its start.
      peer_address: Where other gateways connect.
      ingress_address: Where callers connect.
      data_centre: Its data centre.
      is_ready: Whether it takes new callers.
      cpu_cores: Its processor in cores of ordinary speed.
      beat: Number of its status message; a message with a lower one was overtaken.
    """

    name: str
    boot: int
    peer_address: str
    ingress_address: str
    data_centre: str
    is_ready: bool
    cpu_cores: float = 1.0
    beat: int = 0


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests and prompt tokens at one endpoint.

    Attributes:
      endpoint: Identity of the endpoint.
      requests: Requests that run or wait there.
      tokens: Prompt tokens that are still to be read.
      failures: Hundredths of recent failures there, fading.
      memory: Tokens that the requests, and copies of runs, take there at most.
    """

    endpoint: str
    requests: int
    tokens: int
    failures: int = 0
    memory: int = 0


@dataclasses.dataclass(frozen=True)
class PrefixNews:
    """A prefix that is in a cache, or is being read.

    Attributes:
      key: Key of the prefix.
      tokens: Tokens of its last part.
      holder: Lifetime of an endpoint, or address of a cache store.
      milliseconds: Time until the holder has it, not positive when it has.
    """

    key: bytes
    tokens: int
    holder: str
    milliseconds: int


@dataclasses.dataclass(frozen=True)
class DeathNews:
    """An endpoint that went down.

    Attributes:
      incarnation: Its lifetime.
      fingerprints: Requests that were lost there.
    """

    incarnation: str
    fingerprints: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class WeightsNews:
    """Weights of an endpoint.

    Attributes:
      incarnation: Lifetime of the endpoint.
      model: Name of the model.
      version: Version of the weights.
      is_loading: Whether they were only ordered.
    """

    incarnation: str
    model: str
    version: int
    is_loading: bool


@dataclasses.dataclass(frozen=True)
class Status:
    """Periodic message.

    A relay sums up and passes on what others told it; what it tells to whom is the matter of
    `relaying`.

    Attributes:
      router: The sender.
      scope: Value of `relaying.Scope`: whose requests the loads sum up.
      versions: Newest change that the sender knows, by table.
      is_following: Whether the sender follows the store and gets answers from it.
      roster: Checksum of the list of routers that the receiver may ask for, 0 for none.
      loads: Where requests are.
      weights: What was found out about weights.
      prefixes: What was found out about caches.
      deaths: Endpoints that went down.
      lease: Version of the lease's row when the sender holds it, 0 otherwise.
      targets: Model, version and milliseconds for which the operator has named it.
      stores: Address and epoch of cache stores.
      suspects: Lifetimes of endpoints that accept no connections.
    """

    router: Router
    scope: str
    versions: dict[str, int]
    is_following: bool = False
    roster: int = 0
    loads: tuple[Load, ...] = ()
    weights: tuple[WeightsNews, ...] = ()
    prefixes: tuple[PrefixNews, ...] = ()
    deaths: tuple[DeathNews, ...] = ()
    lease: int = 0
    targets: tuple[tuple[str, int, int], ...] = ()
    stores: tuple[tuple[str, int], ...] = ()
    suspects: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class RosterRequest:
    """Ask for the list of routers.

    Attributes:
      router: The sender.
    """

    router: Router


@dataclasses.dataclass(frozen=True)
class RosterReply:
    """List of routers.

    Attributes:
      sender: Name of the sender.
      kind: Value of `routers.ListKind`: what the list says.
      routers: The routers.
    """

    sender: str
    kind: str
    routers: tuple[Router, ...]


@dataclasses.dataclass(frozen=True)
class RowsRequest:
    """Ask for a table.

    Attributes:
      table: Name of the table.
      reply_to: Peer address of the sender.
    """

    table: str
    reply_to: str


@dataclasses.dataclass(frozen=True)
class RowsReply:
    """All rows of a table as the sender knows them."""

    table: str
    batch: rows.Batch


@dataclasses.dataclass(frozen=True)
class RowsChange:
    """Rows of a table that changed, told as soon as they did.

    Attributes:
      table: Name of the table.
      after: Newest change that the sender knew before.
      batch: The changed rows.
    """

    table: str
    after: int
    batch: rows.Batch


# Whose requests the loads of a status sum up: of the sender, its data centre, or all routers.
SCOPES = frozenset({"own", "data-centre", "all"})
# What a list of routers says: they are heard by the sender, are held for alive, or only exist.
LIST_KINDS = frozenset({"heard", "view", "hint"})
KINDS = {
    "status": Status,
    "roster-request": RosterRequest,
    "roster-reply": RosterReply,
    "rows-request": RowsRequest,
    "rows-reply": RowsReply,
    "rows-change": RowsChange,
}


def encode(message) -> bytes:
    """Return the bytes of a message."""
    kind = next(name for name, known in KINDS.items() if isinstance(message, known))
    return cbor2.dumps([kind, _values(message)])


def _values(item):
    if dataclasses.is_dataclass(item):
        return [_values(getattr(item, field.name)) for field in dataclasses.fields(item)]
    if isinstance(item, tuple):
        return [_values(entry) for entry in item]
    return item


def decode(data: bytes):
    """Return a message, one of the types in `KINDS`.

    Raises:
      GossipError: When the bytes are not one.
    """
    try:
        kind, values = cbor2.loads(data)
        decoder = DECODERS.get(kind)
        if decoder is not None:
            return decoder(values)
    except (cbor2.CBORDecodeError, ValueError, TypeError, AttributeError, RecursionError) as error:
        raise GossipError(f"message is unreadable: {error}", "run one version") from error
    raise GossipError(f"message of unknown kind {kind!r}", "run one version on all VMs")


def encode_router(router: Router) -> bytes:
    """Return the bytes under which a router registers; its messages are not counted there."""
    return cbor2.dumps(_values(dataclasses.replace(router, beat=0)))


def decode_router(data: bytes) -> Router:
    """Return a registered router.

    Raises:
      GossipError: When the bytes are not one.
    """
    try:
        return _router(cbor2.loads(data))
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        raise GossipError(f"router is unreadable: {error}", "remove its row") from error


def _status(values) -> Status:
    (
        router,
        scope,
        versions,
        is_following,
        roster,
        loads,
        weights,
        prefixes,
        deaths,
        lease,
        targets,
        stores,
        suspects,
    ) = _sized(values, 13)
    return Status(
        router=_router(router),
        scope=_one_of(SCOPES, scope),
        versions={_typed(name, str): _typed(v, int) for name, v in versions.items()},
        is_following=_typed(is_following, bool),
        roster=_typed(roster, int),
        loads=_entries(Load, loads, str, int, int, int, int),
        weights=_entries(WeightsNews, weights, str, str, int, bool),
        prefixes=_entries(PrefixNews, prefixes, bytes, int, str, int),
        deaths=tuple(
            DeathNews(_typed(incarnation, str), tuple(_typed(item, str) for item in prints))
            for incarnation, prints in deaths
        ),
        lease=_typed(lease, int),
        targets=tuple((_typed(m, str), _typed(v, int), _typed(age, int)) for m, v, age in targets),
        stores=tuple((_typed(address, str), _typed(epoch, int)) for address, epoch in stores),
        suspects=tuple(_typed(incarnation, str) for incarnation in suspects),
    )


def _one_of(allowed: frozenset[str], value) -> str:
    if value not in allowed:
        raise TypeError(f"found {value!r}, expected one of {sorted(allowed)}")
    return value


def _entries(kind: type, values, *types: type) -> tuple:
    """Return items of a data class from lists of plain values of given types."""
    return tuple(
        kind(*(_typed(value, known) for value, known in zip(item, types, strict=True)))
        for item in values
    )


def _router(values) -> Router:
    name, boot, peer, ingress, data_centre, is_ready, cpu_cores, beat = _sized(values, 8)
    texts = [_typed(text, str) for text in (peer, ingress, data_centre)]
    return Router(
        _typed(name, str),
        _typed(boot, int),
        *texts,
        _typed(is_ready, bool),
        float(cpu_cores),
        _typed(beat, int),
    )


def _roster_reply(values) -> RosterReply:
    sender, kind, found = _sized(values, 3)
    return RosterReply(
        _typed(sender, str),
        _one_of(LIST_KINDS, kind),
        tuple(_router(item) for item in found),
    )


def _rows_request(values) -> RowsRequest:
    return RowsRequest(*(_typed(value, str) for value in _sized(values, 2)))


def _rows_reply(values) -> RowsReply:
    table, batch = _sized(values, 2)
    return RowsReply(_typed(table, str), _batch(batch))


def _rows_change(values) -> RowsChange:
    table, after, batch = _sized(values, 3)
    return RowsChange(_typed(table, str), _typed(after, int), _batch(batch))


def _batch(values) -> rows.Batch:
    found, version, is_whole = _sized(values, 3)
    decoded = _entries(rows.Row, found, str, int, bytes, bool)
    return rows.Batch(decoded, _typed(version, int), _typed(is_whole, bool))


def _sized(values, count: int):
    if not isinstance(values, list) or len(values) != count:
        raise TypeError(f"expected {count} values")
    return values


def _typed(value, kind: type):
    if type(value) is not kind:
        raise TypeError(f"found {type(value).__name__}, expected {kind.__name__}")
    return value


DECODERS = {
    "status": _status,
    "roster-request": lambda values: RosterRequest(*map(_router, _sized(values, 1))),
    "roster-reply": _roster_reply,
    "rows-request": _rows_request,
    "rows-reply": _rows_reply,
    "rows-change": _rows_change,
}
