"""Interface of model engines."""

import dataclasses
from collections.abc import Iterator

from bronzemux import fleet


@dataclasses.dataclass(frozen=True)
class Transfer:
    """What an engine moves between its cache and the KV cache store for a job.

    Attributes:
      import_pieces: Leading pieces that it may import before it computes the rest.
      import_from: Process of the engine that exported them.
      export_pieces: Leading pieces to export once they are computed.
    """

    import_pieces: int = 0
    import_from: str = ""
    export_pieces: int = 0


NO_TRANSFER = Transfer()


@dataclasses.dataclass(frozen=True)
class Job:
    """Work for an engine.

    Attributes:
      request_id: Identity; an engine runs an id at most once in one incarnation.
      path: `prompt.CHAT_PATH` or `prompt.TEXT_PATH`.
      body: JSON body that asks for a stream with usage.
      salt: Seed of the cache keys, see `prefix.salt`.
      weights_version: Version that must answer.
      priority: 0 (first) to 9.
      idempotency_key: Key of the caller, or empty.
      continue_text: Text that the answer already has; it counts as generated.
      may_reuse_connection: Whether an idle connection may carry the job.
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
    """One part of a streamed answer.

    Attributes:
      number: Position from 0.
      data: Payload of the event, JSON or `DONE`.
    """

    number: int
    data: bytes


DONE = b"[DONE]"


@dataclasses.dataclass(frozen=True)
class EventBatch:
    """Cache events of an engine.

    Attributes:
      incarnation: Identity of its process.
      first: Sequence number of the first event.
      last: Sequence number of the last event; ``first - 1`` when there are none.
      stored: Keys of pieces now in the cache.
      evicted: Keys of pieces gone from it.
    """

    incarnation: str
    first: int
    last: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class EngineState:
    """Load, cache events and what is loaded, of an engine at one moment.

    Attributes:
      load: Load.
      events: Cache events since the last report.
      weights: Weights version by model.
      adapters: Adapter versions by `adapter_key`, None when it reports none.
      role: Role, empty when it reports none.
    """

    load: fleet.LoadReport
    events: EventBatch
    weights: tuple[tuple[str, str], ...] = ()
    adapters: tuple[tuple[str, str], ...] | None = None
    role: str = ""


@dataclasses.dataclass(frozen=True)
class Order:
    """Desired state of an engine, repeatable.

    Attributes:
      model: Name of the model.
      weights_version: Version to load; empty to keep the version.
      fencing_token: Number of the lease under which the order is given.
      adapter: Name and version of an adapter to load, or empty.
      role: Role to change to, or empty.
    """

    model: str
    weights_version: str
    fencing_token: int
    adapter: str = ""
    role: str = ""


def adapter_key(model: str, adapter: str) -> str:
    """Return the name under which an engine reports an adapter of a model."""
    return f"{model}/{adapter}"


class ResponseStream:
    """Parts of one answer.

    Attributes:
      incarnation: Identity of the engine's process that runs the request.
    """

    incarnation: str

    def __iter__(self) -> Iterator[Part]:
        """Iterate over parts up to and including `DONE`.

        Raises:
          errors.EndpointError: When the stream breaks.
        """
        raise NotImplementedError

    def close(self) -> None:
        """Drop the connection; the engine keeps the request."""
        raise NotImplementedError


class Engine:
    """One engine as a router meets it."""

    def start(self, job: Job) -> ResponseStream:
        """Start a job.

        Raises:
          errors.EndpointError: Its `outcome` tells whether the job may have run.
        """
        raise NotImplementedError

    def resume(self, request_id: str, offset: int) -> ResponseStream:
        """Read the answer of a started job again from a part.

        Args:
          request_id: Identity of the job.
          offset: Number of the first part wanted.

        Raises:
          errors.EndpointError: When the engine does not answer or does not know the job.
        """
        raise NotImplementedError

    def cancel(self, request_id: str) -> None:
        """Stop a job.

        Raises:
          errors.EndpointError: When the engine does not answer.
        """
        raise NotImplementedError

    def state(self, after: int) -> EngineState:
        """Return the load and the cache events after a sequence number.

        Raises:
          errors.EndpointError: When the engine does not answer.
        """
        raise NotImplementedError

    def order(self, order: Order) -> None:
        """Give an order.

        Raises:
          errors.EndpointRefusedError: When the fencing token is old.
          errors.EndpointError: When the engine does not answer.
        """
        raise NotImplementedError
