"""Interface to model engines."""

import dataclasses
from collections.abc import Callable, Iterator

from bronzemux import fleet


@dataclasses.dataclass(frozen=True)
class Transfer:
    """Imports from and exports to the KV cache store that a job requests of its engine.

    Attributes:
      import_pieces: Number of leading pieces that the engine may import before it computes the
        rest.
      import_from: Incarnation of the engine that exported these pieces, or empty.
      export_pieces: Number of leading pieces to export once they are computed.
    """

    import_pieces: int = 0
    import_from: str = ""
    export_pieces: int = 0


NO_TRANSFER = Transfer()


@dataclasses.dataclass(frozen=True)
class Job:
    """One request to an engine.

    Attributes:
      request_id: Unique id; one incarnation of an engine runs an id at most once.
      path: `prompt.CHAT_PATH` or `prompt.TEXT_PATH`.
      body: JSON body that requests a stream with usage.
      salt: Seed of the cache keys, see `prefix.salt`.
      weights_version: Weights version that must serve the request.
      priority: Priority from 0 (highest) to 9.
      idempotency_key: Idempotency key of the caller, or empty.
      continue_text: Text of the response so far, which the engine continues; its tokens count as
        generated. Empty for a new response.
      may_reuse_connection: Whether the job may be sent on an idle connection.
      transfer: What the engine imports from and exports to the KV cache store.
      adapter: Name and version of the adapter, or empty.
    """

    request_id: str
    path: str
    body: bytes
    salt: bytes
    weights_version: str
    priority: int
    idempotency_key: str = ""
    continue_text: str = ""
    may_reuse_connection: bool = True
    transfer: Transfer = NO_TRANSFER
    adapter: str = ""


@dataclasses.dataclass(frozen=True)
class Part:
    """One event of a streamed response.

    Attributes:
      number: Position in the stream, from 0.
      data: Payload of the event, a JSON object or `DONE`.
    """

    number: int
    data: bytes


DONE = b"[DONE]"


@dataclasses.dataclass(frozen=True)
class EventBatch:
    """Consecutive cache events of an engine.

    Attributes:
      incarnation: Incarnation of the engine.
      first: Sequence number of the first event.
      last: Sequence number of the last event; ``first - 1`` when there are none.
      stored: Cache keys of pieces that are in the cache now.
      evicted: Cache keys of pieces that are no longer in the cache.
    """

    incarnation: str
    first: int
    last: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class EngineState:
    """State that an engine reports at one moment.

    Attributes:
      load: Numbers of running and waiting requests.
      events: Cache events since the previous report.
      weights: Pairs of model and loaded weights version.
      adapters: Pairs of `adapter_key` and loaded version, None when the engine does not report
        adapters.
      role: Role of the engine, empty when it does not report one.
      software: Version of the engine's software, empty when it does not report one.
    """

    load: fleet.LoadReport
    events: EventBatch
    weights: tuple[tuple[str, str], ...] = ()
    adapters: tuple[tuple[str, str], ...] | None = None
    role: str = ""
    software: str = ""


@dataclasses.dataclass(frozen=True)
class Order:
    """Desired state of an engine; sending it again has no further effect.

    Attributes:
      model: Name of the model.
      weights_version: Version to load; empty keeps the loaded version.
      fencing_token: Fencing token of the lease under which the order is sent.
      adapter: Name and version of an adapter to load, or empty.
      role: Role to switch to, or empty.
    """

    model: str
    weights_version: str
    fencing_token: int
    adapter: str = ""
    role: str = ""


def adapter_key(model: str, adapter: str) -> str:
    """Return the key of an adapter in `EngineState.adapters`.

    Args:
      model: Name of the model.
      adapter: Name of the adapter.
    """
    return f"{model}/{adapter}"


class ResponseStream:
    """Parts of one response as they arrive.

    Attributes:
      incarnation: Incarnation of the engine that runs the request.
      software: Version of this engine's software, empty when the response does not state one.
    """

    incarnation: str
    software: str = ""

    def __iter__(self) -> Iterator[Part]:
        """Iterate over the parts up to and including `DONE`.

        Raises:
          errors.EndpointError: When the stream breaks.
        """
        raise NotImplementedError

    def close(self) -> None:
        """Close the connection; the engine keeps running the request."""
        raise NotImplementedError


class Engine:
    """Client of the engine at one endpoint."""

    def start(self, job: Job) -> ResponseStream:
        """Start a job.

        Raises:
          errors.EndpointError: When the job did not start or its start is uncertain; `outcome`
            states whether it may have run.
        """
        raise NotImplementedError

    def resume(self, request_id: str, offset: int) -> ResponseStream:
        """Resume the response stream of a started job.

        Args:
          request_id: Id of the job.
          offset: Number of the first part to receive.

        Raises:
          errors.EndpointError: When the engine does not respond or does not know the job.
        """
        raise NotImplementedError

    def cancel(self, request_id: str) -> None:
        """Cancel a job.

        Raises:
          errors.EndpointError: When the engine does not respond or does not know the job.
        """
        raise NotImplementedError

    def state(self, after: int) -> EngineState:
        """Return the state of the engine with its cache events after a sequence number.

        Args:
          after: Sequence number of the last cache event that is already known.

        Raises:
          errors.EndpointError: When the engine does not respond or its state is malformed.
        """
        raise NotImplementedError

    def order(self, order: Order, check: Callable[[], None] = lambda: None) -> None:
        """Send an order to the engine.

        Args:
          order: The order.
          check: Called once the connection is established, immediately before the order is sent; an
            error that it raises prevents that.

        Raises:
          errors.EndpointRefusedError: When the fencing token is outdated.
          errors.EndpointError: When the engine does not respond or rejects the order.
        """
        raise NotImplementedError
