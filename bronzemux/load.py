"""Load tests over TCP: seeded open-loop traffic, router overhead, and restart times."""

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
WARM_UP_REQUESTS = 5
US_PER_SECOND = 1e6
RETRY_INTERVAL_SECONDS = 0.005


@dataclasses.dataclass
class LoadResult:
    """Figures of one run of `send_traffic`.

    Attributes:
      answered: Number of complete responses.
      refused: Number of error responses by their type.
      broken: Number of requests whose connection failed or whose stream lacks the end marker.
      prompt_tokens: Prompt tokens of the complete responses, as the engines count them.
      cached_tokens: Prompt tokens that were found in prefix caches.
      first_token: Times to the first token in seconds.
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
    """One streamed response as a caller sees it.

    Attributes:
      first_token: Seconds from opening the connection to the first event.
      parts: Number of events, the end marker included.
      usage: Token counts that the response reports.
      is_whole: Whether the last event was the end marker.
    """

    first_token: float
    parts: int
    usage: completion.Usage
    is_whole: bool


def prompt_messages(plan: traffic.Traffic, arrival: traffic.Arrival, piece_bytes: int) -> list:
    """Return the chat messages of a request: document, case and question.

    Args:
      plan: The traffic.
      arrival: The request.
      piece_bytes: Size of a piece in bytes.
    """
    document = filler_text(f"{arrival.team}/{arrival.document}", plan.document.pieces * piece_bytes)
    name = f"{arrival.team}/{arrival.document}/{arrival.case}"
    case = filler_text(name, plan.case.pieces * piece_bytes)
    size = arrival.question_tokens * config.BYTES_PER_TOKEN
    question = filler_text(f"question {arrival.number}", size)
    return [
        {"role": "system", "content": document},
        {"role": "user", "content": case},
        {"role": "user", "content": question},
    ]


def filler_text(name: str, size: int) -> str:
    """Return text that repeats a name.

    Args:
      name: Text to repeat, in ASCII.
      size: Length of the result in bytes.
    """
    line = f"{name}: "
    return (line * (size // len(line) + 1))[:size]


def read_stream(address: str, path: str, headers: dict[str, str], body: bytes) -> Stream:
    """Send a request for a stream and read the whole response.

    Args:
      address: IP address and port.
      path: Path of the request.
      headers: Headers of the request.
      body: JSON body that asks for a stream with usage.

    Raises:
      errors.EndpointError: When the connection fails.
      errors.RequestError: When the response is an error.
    """
    host, _, port = address.rpartition(":")
    started = time.perf_counter()
    connection = http_client.Connection(host, int(port), TIMEOUTS)
    try:
        connection.send("POST", path, headers, body)
        response = connection.receive("POST")
        if response.status_code != HTTP_OK:
            raise _decode_refusal(connection.read_all())
        return _read_events(connection, started)
    finally:
        connection.close()


def _read_events(connection: http_client.Connection, started: float) -> Stream:
    first, count, usage, is_whole = 0.0, 0, completion.Usage(), False
    for event in http_client.iter_events(iter(connection.read, b"")):
        first = first or time.perf_counter() - started
        data = event.rpartition(b"data: ")[2].strip()
        count += 1
        is_whole = data == engine.DONE
        usage = (None if is_whole else completion.decode_usage(data)) or usage
    return Stream(first, count, usage, is_whole)


def _decode_refusal(body: bytes) -> errors.RequestError:
    fields = json.loads(body)["error"]
    error = errors.RequestError(f"request refused: {fields['message']}", "see the message")
    error.kind = fields["type"]
    return error


def send_traffic(
    plan: traffic.Traffic, addresses: list[str], key_of: Callable[[str], str], document
) -> LoadResult:
    """Send seeded traffic with open-loop arrivals and return the figures.

    Args:
      plan: The traffic; its faults are not applied here.
      addresses: IP addresses and ports of the routers.
      key_of: Function that returns the API key of a team, given its name.
      document: Configuration with the size of a piece, the model and the workloads.
    """
    result = LoadResult()
    started = time.monotonic()
    greenlets = []
    for arrival in traffic.arrivals(plan):
        gevent.sleep(max(0.0, started + arrival.at - time.monotonic()))
        address = addresses[arrival.router % len(addresses)]
        key = key_of(arrival.team)
        greenlets.append(gevent.spawn(_send_request, result, plan, arrival, address, key, document))
    gevent.joinall(greenlets)
    return result


def _send_request(result: LoadResult, plan, arrival, address: str, key: str, document) -> None:
    messages = prompt_messages(plan, arrival, document.deployment.piece_bytes)
    body = _encode_body(document.models[0].name, messages, arrival.answer_tokens)
    try:
        headers = {
            "Authorization": f"Bearer {key}",
            "X-Workload": _workload_name(document, arrival.team),
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


def _workload_name(document: config.Config, team: str) -> str:
    """Return the name of an idempotent model workload open to a team, or an empty string."""
    for workload in document.workloads:
        is_open = not workload.teams or team in workload.teams
        if workload.idempotent and workload.models and is_open:
            return workload.name
    return ""


def _encode_body(model: str, messages: list, max_tokens: int) -> bytes:
    body = {
        "model": model,
        "messages": messages,
        "max_tokens": max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    return json.dumps(body, ensure_ascii=False).encode()


# Overhead of the router


@dataclasses.dataclass(frozen=True)
class Overhead:
    """Cost of requests through the router and of the same requests sent directly to the engine.

    Attributes:
      requests: Number of routed requests, and of direct ones.
      parts: Words of each response.
      direct_first: Median seconds to the first part of a direct request.
      routed_first: Median seconds to the first part of a routed request.
      direct_part_seconds: CPU seconds of caller and engine per part of a direct request.
      routed_part_seconds: CPU seconds of caller, router and engine per part of a routed request.
      routed_request_seconds: CPU seconds that the router adds to a request of one word.
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
        part = (self.routed_part_seconds - self.direct_part_seconds) * US_PER_SECOND
        return (
            f"{self.requests} requests of {self.parts} parts each way, direct and routed\n"
            f"first part: direct {self.direct_first * 1000:.3f} ms, "
            f"routed {self.routed_first * 1000:.3f} ms, added {added:.3f} ms\n"
            f"CPU time per part: direct {self.direct_part_seconds * US_PER_SECOND:.1f} us, "
            f"routed {self.routed_part_seconds * US_PER_SECOND:.1f} us, router {part:.1f} us\n"
            f"router CPU time per request, without parts: "
            f"{self.routed_request_seconds * US_PER_SECOND:.0f} us"
        )


def measure_overhead(deployment, requests: int, parts: int) -> Overhead:
    """Measure the router's overhead against direct requests to the same engine.

    Engine, router and caller share one process, so that the CPU time of the router is the
    difference between routed and direct requests. The CPU time per part follows from the difference
    between responses of `parts` words and of one word.

    Args:
      deployment: A started development deployment with one engine.
      requests: Number of requests of each kind.
      parts: Words of each response, at least 2.
    """
    model = deployment.document.models[0]
    team = deployment.document.teams[0].name
    body = _encode_body(
        model.name, [{"role": "user", "content": filler_text("overhead", 2000)}], parts
    )
    name, standin = next(iter(deployment.engines.items()))
    salt = prefix.salt(team, model.name, "", model.weights_version)
    direct_headers = {
        engine_http.HEADER_SALT: salt.hex(),
        engine_http.HEADER_WEIGHTS: model.weights_version,
    }
    routed_headers = {"Authorization": f"Bearer {deployment.key(team)}"}
    routed_address = f"127.0.0.1:{deployment.routers[0].port}"

    def send_direct(number: int, content: bytes) -> Stream:
        headers = {**direct_headers, engine_http.HEADER_REQUEST: f"{name}-{number}"}
        return read_stream(f"127.0.0.1:{standin.port}", prompt.CHAT_PATH, headers, content)

    def send_routed(number: int, content: bytes) -> Stream:
        return read_stream(routed_address, prompt.CHAT_PATH, routed_headers, content)

    one_word_body = _encode_body(
        model.name, [{"role": "user", "content": filler_text("overhead", 2000)}], 1
    )
    _, direct_cpu = _measure(send_direct, body, requests, 0)
    _, routed_cpu = _measure(send_routed, body, requests, 0)
    direct_first, direct_one_word_cpu = _measure(
        send_direct, one_word_body, requests, 10 * requests
    )
    routed_first, routed_one_word_cpu = _measure(
        send_routed, one_word_body, requests, 10 * requests
    )
    return Overhead(
        requests,
        parts,
        direct_first,
        routed_first,
        (direct_cpu - direct_one_word_cpu) / (parts - 1),
        (routed_cpu - routed_one_word_cpu) / (parts - 1),
        routed_one_word_cpu - direct_one_word_cpu,
    )


def _measure(send, body: bytes, requests: int, offset: int) -> tuple[float, float]:
    """Return the median time to the first part and the mean CPU time of a request, in seconds.

    Args:
      send: Function that sends one request, given its number and body.
      body: JSON body.
      requests: Number of measured requests, sent one after another.
      offset: Number of the first one; runs use disjoint ranges, so that request ids are unique.
    """
    for number in range(WARM_UP_REQUESTS):
        send(offset - 1 - number, body)
    before = cpu_seconds()
    first_part_times = [send(offset + number, body).first_token for number in range(requests)]
    used_seconds = cpu_seconds() - before
    return statistics.median(first_part_times), used_seconds / requests


def cpu_seconds() -> float:
    """Return the CPU time that this process has used, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


# Restarts


def measure_restart_times(deployment, positions: list[int]) -> list[float]:
    """Crash and replace routers at the same time; return the seconds until each responds again.

    Args:
      deployment: A started development deployment.
      positions: Positions of the routers to replace.
    """
    for position in positions:
        deployment.crash_router(position)
    started = time.perf_counter()
    for position in positions:
        deployment.start_router(position)
    team = deployment.document.teams[0].name
    headers = {"Authorization": f"Bearer {deployment.key(team)}"}
    body = _encode_body(
        deployment.document.models[0].name, [{"role": "user", "content": "Hello"}], 1
    )

    def measure_first_response(position: int) -> float:
        address = f"127.0.0.1:{deployment.routers[position].port}"
        while True:
            try:
                read_stream(address, prompt.CHAT_PATH, headers, body)
                return time.perf_counter() - started
            except (errors.EndpointError, errors.RequestError):
                gevent.sleep(RETRY_INTERVAL_SECONDS)

    greenlets = [gevent.spawn(measure_first_response, position) for position in positions]
    gevent.joinall(greenlets, raise_error=True)
    return [greenlet.value for greenlet in greenlets]
