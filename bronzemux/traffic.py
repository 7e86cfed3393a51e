"""Seeded traffic of a deployment: prompts with nested prefixes, and scheduled faults."""

import dataclasses
import hashlib
import random
import tomllib
from collections.abc import Iterator

import cattrs

from bronzemux import errors, structuring

FAULT_KINDS = ("crash", "gaps", "slow", "hot-shift", "herd-restart")
CACHE_KEY_BYTES = 8


@dataclasses.dataclass(frozen=True)
class Level:
    """One level of nested prefixes.

    Attributes:
      pieces: Length in pieces.
      count: Number of different prefixes under one parent.
      skew: Exponent of the Zipf distribution of their popularity; 0 for a uniform distribution.
    """

    pieces: int
    count: int
    skew: float = 1.0


@dataclasses.dataclass(frozen=True)
class Share:
    """Weight of a team in the draw of the team that sends a request."""

    team: str
    share: float


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault scheduled in a run.

    ``crash`` stops an engine, ``gaps`` loses cache events of all engines, ``slow`` slows engines
    down, ``hot-shift`` changes which cases are popular, and ``herd-restart`` restarts all routers
    at once.

    Attributes:
      at_seconds: Start, in seconds from the start of the run.
      kind: One of `FAULT_KINDS`.
      target: Endpoint of a ``crash``, endpoint or data centre of a ``slow``; empty otherwise.
      seconds: Duration of a ``crash``, ``gaps`` or ``slow``.
      factor: For ``slow``, the factor on an engine's times; for ``gaps``, the probability that a
        router loses the cache events of a report.
    """

    at_seconds: float
    kind: str
    target: str = ""
    seconds: float = 0.0
    factor: float = 1.0


@dataclasses.dataclass(frozen=True)
class Traffic:
    """Traffic of one run.

    Attributes:
      deployment: Name of the deployment.
      seed: Seed of all random draws.
      duration_seconds: Length of the run.
      requests_per_second: Mean rate of the arrivals, which are a Poisson process.
      routers: Number of routers among which the arrivals are distributed at random.
      shares: Weights of the teams.
      document: Upper level of prefixes, such as a statute or catalogue.
      case: Lower level of prefixes, such as a case or an order.
      question_tokens: Least and most tokens of a question.
      answer_tokens: Least and most tokens of a response.
      faults: Faults of the run.
    """

    deployment: str
    seed: int
    duration_seconds: float
    requests_per_second: float
    routers: int
    shares: tuple[Share, ...]
    document: Level
    case: Level
    question_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]
    faults: tuple[Fault, ...] = ()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a run.

    Attributes:
      at: Time of arrival, in seconds from the start of the run.
      number: Position in the run, from 0.
      team: Name of the team.
      document: Number of the document.
      case: Number of the case.
      question_tokens: Tokens of the question, which no other request shares.
      answer_tokens: Tokens to generate.
      router: Number of the router that receives the request.
    """

    at: float
    number: int
    team: str
    document: int
    case: int
    question_tokens: int
    answer_tokens: int
    router: int


def loads(text: str) -> Traffic:
    """Decode a traffic file.

    Args:
      text: TOML document.

    Raises:
      errors.ConfigError: With all problems found.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problem = errors.ConfigProblemError("document", str(error), "correct the TOML syntax")
        raise errors.ConfigError("traffic file is not valid TOML", [problem]) from None
    try:
        traffic = structuring.converter().structure(document, Traffic)
    except cattrs.BaseValidationError as error:
        problems = list(structuring.problems(error, ""))
        raise errors.ConfigError("traffic file is invalid", problems) from None
    problems = list(check(traffic))
    if problems:
        raise errors.ConfigError("traffic file is invalid", problems)
    return traffic


def scaled(traffic: Traffic, rate: float, seconds: float) -> Traffic:
    """Return traffic with another rate and duration.

    Args:
      traffic: The traffic.
      rate: Mean arrivals per second; 0 keeps the present rate.
      seconds: Duration in seconds; faults that start later are omitted. 0 keeps the present one.
    """
    new_duration = seconds or traffic.duration_seconds
    return dataclasses.replace(
        traffic,
        requests_per_second=rate or traffic.requests_per_second,
        duration_seconds=new_duration,
        faults=tuple(fault for fault in traffic.faults if fault.at_seconds < new_duration),
    )


def check(traffic: Traffic) -> Iterator[errors.ConfigProblemError]:
    """Iterate over the problems of decoded traffic."""
    if not traffic.shares:
        yield errors.ConfigProblemError("shares", "is empty", "name at least one team")
    for position, fault in enumerate(traffic.faults):
        if fault.kind not in FAULT_KINDS:
            yield errors.ConfigProblemError(
                f"faults[{position}].kind",
                f"{fault.kind!r} is unknown",
                f"use one of {', '.join(FAULT_KINDS)}",
            )
    for field in ("duration_seconds", "requests_per_second", "routers"):
        if getattr(traffic, field) <= 0:
            yield errors.ConfigProblemError(field, "is not above 0", "give a number above 0")


def arrivals(traffic: Traffic) -> Iterator[Arrival]:
    """Iterate over the requests of a run in order of time.

    The sequence depends only on `traffic`. Each ``hot-shift`` fault moves the popularity ranks of
    the cases by a third of their number.
    """
    rng = random.Random(traffic.seed)
    weights = [share.share for share in traffic.shares]
    shifts = sorted(fault.at_seconds for fault in traffic.faults if fault.kind == "hot-shift")
    document_weights = _zipf(traffic.document)
    case_weights = _zipf(traffic.case)
    now, number = 0.0, 0
    while True:
        now += rng.expovariate(traffic.requests_per_second)
        if now >= traffic.duration_seconds:
            return
        shift_count = sum(1 for at in shifts if at <= now)
        rank = rng.choices(range(traffic.case.count), case_weights)[0]
        yield Arrival(
            at=now,
            number=number,
            team=rng.choices(traffic.shares, weights)[0].team,
            document=rng.choices(range(traffic.document.count), document_weights)[0],
            case=(rank + shift_count * traffic.case.count // 3) % traffic.case.count,
            question_tokens=rng.randint(*traffic.question_tokens),
            answer_tokens=rng.randint(*traffic.answer_tokens),
            router=rng.randrange(traffic.routers),
        )
        number += 1


def chain(traffic: Traffic, arrival: Arrival) -> tuple[int, ...]:
    """Return the cache keys of the pieces of a request's document and case."""
    document = f"{arrival.team}/{arrival.document}"
    case = f"{document}/{arrival.case}"
    keys = [_key(document, i) for i in range(traffic.document.pieces)]
    keys += [_key(case, i) for i in range(traffic.case.pieces)]
    return tuple(keys)


def tokens(traffic: Traffic, arrival: Arrival, piece_tokens: int) -> int:
    """Return the number of tokens of a request's prompt.

    Args:
      traffic: The traffic.
      arrival: The request.
      piece_tokens: Tokens of one piece.
    """
    pieces = traffic.document.pieces + traffic.case.pieces
    return pieces * piece_tokens + arrival.question_tokens


def _key(name: str, position: int) -> int:
    digest = hashlib.blake2b(f"{name}#{position}".encode(), digest_size=CACHE_KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


def _zipf(level: Level) -> list[float]:
    return [1.0 / (rank + 1) ** level.skew for rank in range(level.count)]
