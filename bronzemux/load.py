"""Load over real sockets: seeded traffic with open-loop arrivals, and the router's overhead."""

import dataclasses
import json
import resource
import statistics
import time
from collections.abc import Callable

import ddsketch
import gevent

from bronzemux import (
    completion,
    config,
    engine,
    engine_http,
    errors,
    http_client,
    prefix,
    prompt,
    traffic,
)

TIMEOUTS = http_client.Timeouts(connect=2.0, progress=60.0)
HTTP_OK = 200
PERCENTILES = (50.0, 95.0, 99.0, 99.9)
OVERHEAD_WARM_UP = 5
MICROSECONDS = 1e6
RETRY_SECONDS = 0.005


@dataclasses.dataclass
class LoadResult:
    """Figures of a run over real sockets.

    Attributes:
      answered: Whole answers.
      refused: Answers with an error, by its type.
      broken: Streams without an end mark, and lost connections.
      prompt_tokens: Tokens of the prompts as engines count.
      cached_tokens: Tokens found in caches.
      first_token: Times to first token in seconds.
    """

    answered: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    broken: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    first_token: ddsketch.DDSketch = dataclasses.field(default_factory=ddsketch.DDSketch)

    def text(self) -> str:
        """Return the figures as lines."""
        quantiles = (self.first_token.get_quantile_value(p / 100) or 0.0 for p in PERCENTILES)
        times = ", ".join(
            f"p{p:g} {value:.4f} s" for p, value in zip(PERCENTILES, quantiles, strict=True)
        )
        hit_rate = self.cached_tokens / max(1, self.prompt_tokens)
        refused = ", ".join(f"{kind} {count}" for kind, count in sorted(self.refused.items()))
        return (
            f"answered {self.answered}, broken {self.broken}, refused: {refused or 'none'}\n"
            f"first token {times}\nhit rate {hit_rate:.4f}"
        )


@dataclasses.dataclass(frozen=True)
class Stream:
    """One streamed answer as a caller sees it."""

    first_token: float
    parts: int
    usage: completion.Usage
    is_whole: bool


def prompt_messages(plan: traffic.Traffic, arrival: traffic.Arrival, piece_bytes: int) -> list:
    """Return the messages of a request: document, case and question.

    Args:
      plan: The traffic.
      arrival: The request.
      piece_bytes: Size of a piece.
    """
    document = filler(f"{arrival.team}/{arrival.document}", plan.document.pieces * piece_bytes)
    name = f"{arrival.team}/{arrival.document}/{arrival.case}"
    case = filler(name, plan.case.pieces * piece_bytes)
    size = arrival.question_tokens * config.BYTES_PER_TOKEN
    question = filler(f"question {arrival.number}", size)
    return [
        {"role": "system", "content": document},
        {"role": "user", "content": case},
        {"role": "user", "content": question},
    ]


def filler(name: str, size: int) -> str:
    """Return reproducible text of a size in bytes."""
    line = f"{name}: "
    return (line * (size // len(line) + 1))[:size]


def read_stream(address: str, path: str, headers: dict[str, str], body: bytes) -> Stream:
    """Send a request for a stream and read the answer.

    Args:
      address: IP number and port.
      path: Path of the request.
      headers: Headers of the request.
      body: JSON body that asks for a stream with usage.

    Raises:
      errors.EndpointError: When the connection fails.
      errors.RequestError: When the answer is an error.
    """
    host, _, port = address.rpartition(":")
    started = time.perf_counter()
    connection = http_client.Connection(host, int(port), TIMEOUTS)
    try:
        connection.send("POST", path, headers, body)
        response = connection.receive("POST")
        if response.status_code != HTTP_OK:
            raise _refused(connection.read_all())
        return _read_parts(connection, started)
    finally:
        connection.close()


def _read_parts(connection: http_client.Connection, started: float) -> Stream:
    first, count, usage, is_whole = 0.0, 0, completion.Usage(), False
    for event in http_client.iter_events(iter(connection.read, b"")):
        first = first or time.perf_counter() - started
        data = event.rpartition(b"data: ")[2].strip()
        count += 1
        is_whole = data == engine.DONE
        usage = (None if is_whole else completion.decode_usage(data)) or usage
    return Stream(first, count, usage, is_whole)


def _refused(body: bytes) -> errors.RequestError:
    fields = json.loads(body)["error"]
    error = errors.RequestError(f"refused: {fields['message']}", "see the error")
    error.kind = fields["type"]
    return error


def run(
    plan: traffic.Traffic, addresses: list[str], key_of: Callable[[str], str], document
) -> LoadResult:
    """Send seeded traffic with open-loop arrivals and return the figures.

    Args:
      plan: The traffic; its faults are not applied here.
      addresses: IP number and port of the routers.
      key_of: Returns the key of a team.
      document: Configuration, for the sizes.
    """
    result = LoadResult()
    started = time.monotonic()
    jobs = []
    for arrival in traffic.arrivals(plan):
        gevent.sleep(max(0.0, started + arrival.at - time.monotonic()))
        address = addresses[arrival.router % len(addresses)]
        key = key_of(arrival.team)
        jobs.append(gevent.spawn(_send_one, result, plan, arrival, address, key, document))
    gevent.joinall(jobs)
    return result


def _send_one(result: LoadResult, plan, arrival, address: str, key: str, document) -> None:
    messages = prompt_messages(plan, arrival, document.deployment.piece_bytes)
    body = _body(document.models[0].name, messages, arrival.answer_tokens)
    try:
        headers = {
            "Authorization": f"Bearer {key}",
            "X-Workload": _workload(document, arrival.team),
        }
        stream = read_stream(address, prompt.CHAT_PATH, headers, body)
    except errors.RequestError as error:
        result.refused[error.kind] = result.refused.get(error.kind, 0) + 1
        return
    except errors.EndpointError:
        result.broken += 1
        return
    if not stream.is_whole:
        result.broken += 1
        return
    result.answered += 1
    result.prompt_tokens += stream.usage.prompt_tokens
    result.cached_tokens += stream.usage.cached_tokens
    result.first_token.add(stream.first_token)


def _workload(document: config.Config, team: str) -> str:
    """Return the name of an idempotent workload of models that a team may use."""
    for workload in document.workloads:
        is_open = not workload.teams or team in workload.teams
        if workload.idempotent and workload.models and is_open:
            return workload.name
    return ""


def _body(model: str, messages: list, count: int) -> bytes:
    body = {
        "model": model,
        "messages": messages,
        "max_tokens": count,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    return json.dumps(body, ensure_ascii=False).encode()


# Overhead of the router


@dataclasses.dataclass(frozen=True)
class Overhead:
    """Comparison of requests through the router with the same requests at the engine.

    Attributes:
      requests: Requests of each kind.
      parts: Parts of each answer.
      direct_first: Median seconds to the first part at the engine.
      routed_first: The same through the router.
      direct_part_seconds: Processor seconds a part at the engine, both ends.
      routed_part_seconds: The same through the router, all three ends.
      routed_request_seconds: Processor seconds that the router adds to a request of two parts.
    """

    requests: int
    parts: int
    direct_first: float
    routed_first: float
    direct_part_seconds: float
    routed_part_seconds: float
    routed_request_seconds: float

    def text(self) -> str:
        """Return the figures as lines."""
        added = (self.routed_first - self.direct_first) * 1000
        part = (self.routed_part_seconds - self.direct_part_seconds) * MICROSECONDS
        return (
            f"{self.requests} requests of {self.parts} parts, each directly and routed\n"
            f"first part: direct {self.direct_first * 1000:.3f} ms, "
            f"routed {self.routed_first * 1000:.3f} ms, added {added:.3f} ms\n"
            f"processor time a part: direct {self.direct_part_seconds * MICROSECONDS:.1f} us, "
            f"routed {self.routed_part_seconds * MICROSECONDS:.1f} us, router {part:.1f} us\n"
            f"router's processor time a request, without parts: "
            f"{self.routed_request_seconds * MICROSECONDS:.0f} us"
        )


def overhead(deployment, requests: int, parts: int) -> Overhead:
    """Measure the router's overhead against the same engine directly.

    Engine, router and caller share one process; the difference of the two ways is the router.

    Args:
      deployment: A started development deployment with one engine.
      requests: Requests of each kind.
      parts: Words of each answer.
    """
    model = deployment.document.models[0]
    team = deployment.document.teams[0].name
    body = _body(model.name, [{"role": "user", "content": filler("overhead", 2000)}], parts)
    name, standin = next(iter(deployment.engines.items()))
    salt = prefix.salt(team, model.name, "", model.weights_version)
    direct_headers = {
        engine_http.HEADER_SALT: salt.hex(),
        engine_http.HEADER_WEIGHTS: model.weights_version,
    }
    routed_headers = {"Authorization": f"Bearer {deployment.key(team)}"}
    routed_address = f"127.0.0.1:{deployment.routers[0].port}"

    def direct(number: int, content: bytes) -> Stream:
        headers = {**direct_headers, engine_http.HEADER_REQUEST: f"{name}-{number}"}
        return read_stream(f"127.0.0.1:{standin.port}", prompt.CHAT_PATH, headers, content)

    def routed(number: int, content: bytes) -> Stream:
        return read_stream(routed_address, prompt.CHAT_PATH, routed_headers, content)

    short = _body(model.name, [{"role": "user", "content": filler("overhead", 2000)}], 1)
    _, direct_cpu = _time(direct, body, requests, 0)
    _, routed_cpu = _time(routed, body, requests, 0)
    direct_first, direct_short = _time(direct, short, requests, 10 * requests)
    routed_first, routed_short = _time(routed, short, requests, 10 * requests)
    return Overhead(
        requests,
        parts,
        direct_first,
        routed_first,
        (direct_cpu - direct_short) / (parts - 1),
        (routed_cpu - routed_short) / (parts - 1),
        routed_short - direct_short,
    )


def _time(function, body: bytes, requests: int, offset: int) -> tuple[float, float]:
    """Return the median time to first part and the mean processor time of a request."""
    for number in range(OVERHEAD_WARM_UP):
        function(offset - 1 - number, body)
    before = processor_seconds()
    firsts = [function(offset + number, body).first_token for number in range(requests)]
    spent = processor_seconds() - before
    return statistics.median(firsts), spent / requests


def processor_seconds() -> float:
    """Return the processor time that this process has used, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


# Restarts


def restart_times(deployment, positions: list[int]) -> list[float]:
    """Crash and replace routers at the same time; return the seconds to each first answer.

    Args:
      deployment: A started development deployment.
      positions: Positions of the routers.
    """
    for position in positions:
        deployment.crash_router(position)
    started = time.perf_counter()
    for position in positions:
        deployment.start_router(position)
    team = deployment.document.teams[0].name
    headers = {"Authorization": f"Bearer {deployment.key(team)}"}
    body = _body(deployment.document.models[0].name, [{"role": "user", "content": "Hello"}], 1)

    def first_answer(position: int) -> float:
        address = f"127.0.0.1:{deployment.routers[position].port}"
        while True:
            try:
                read_stream(address, prompt.CHAT_PATH, headers, body)
                return time.perf_counter() - started
            except (errors.EndpointError, errors.RequestError):
                gevent.sleep(RETRY_SECONDS)

    jobs = [gevent.spawn(first_answer, position) for position in positions]
    gevent.joinall(jobs, raise_error=True)
    return [job.value for job in jobs]
