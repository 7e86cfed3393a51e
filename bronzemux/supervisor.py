"""Supervision tree of tasks, actors that own their state and communicate by messages."""

import functools

import gevent
import gevent.queue
from gevent import event

from bronzemux import clock as clocks
from bronzemux import errors, logs, records

RESTART_BACKOFF_SECONDS = 0.1
MAX_RESTART_BACKOFF_SECONDS = 5.0
BACKOFF_RESET_SECONDS = 30.0


@records.record
class Call:
    """A message whose sender waits for the reply.

    Attributes:
      message: The message.
      reply: Future of the reply.
    """

    message: object
    reply: event.AsyncResult


@records.record
class Stop:
    """Request to end a task once it has handled the messages before this one."""


class Task:
    """An actor: a greenlet that handles the messages of its mailbox one by one.

    Subclasses register a handler for each message type with `handle.register`, and may override
    `tick` and `initialise_state`.

    Args:
      name: Name in logs.
      clock: Source of time.
      interval: Seconds between calls of `tick`, or None for no calls.
    """

    def __init__(self, name: str, clock: clocks.Clock, interval: float | None = None):
        self.name = name
        self.clock = clock
        self.interval = interval
        self.mailbox: gevent.queue.SimpleQueue = gevent.queue.SimpleQueue()
        self.next_tick = 0.0

    def send(self, message) -> None:
        """Put a message into the mailbox without waiting for it to be handled."""
        self.mailbox.put(message)

    def call(self, message, timeout: float | None = None):
        """Send a message and return what `handle` returns for it.

        Args:
          message: The message.
          timeout: Seconds to wait for the reply, None for no limit.

        Raises:
          errors.UnavailableError: When no reply came in time.
          Exception: The error that `handle` raised.
        """
        reply = event.AsyncResult()
        self.send(Call(message, reply))
        try:
            return reply.get(timeout=timeout)
        except gevent.Timeout:
            raise errors.UnavailableError(
                f"task {self.name} sent no reply within {timeout:g} s", "try again later"
            ) from None

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message.

        Raises:
          TypeError: When no handler is registered for the type of the message.
        """
        raise TypeError(f"{self.name} does not handle {type(message).__name__}")

    def tick(self) -> None:
        """Do periodic work."""

    def initialise_state(self) -> None:
        """Initialise the state at each start and restart of the task."""

    def run(self) -> None:
        """Handle messages and ticks until `Stop` arrives."""
        self.initialise_state()
        self.next_tick = self.clock.monotonic()
        while True:
            message = self._next_message()
            if isinstance(message, Stop):
                return
            if message is not None:
                self._dispatch(message)
            self._tick_if_due()

    def _next_message(self):
        if self.interval is None:
            return self.mailbox.get()
        wait = max(0.0, self.next_tick - self.clock.monotonic())
        try:
            return self.mailbox.get(timeout=wait)
        except gevent.queue.Empty:
            return None

    def _tick_if_due(self) -> None:
        if self.interval is not None and self.clock.monotonic() >= self.next_tick:
            self.next_tick = self.clock.monotonic() + self.interval
            self.tick()

    def _dispatch(self, message) -> None:
        if not isinstance(message, Call):
            self.handle(message)
            return
        try:
            message.reply.set(self.handle(message.message))
        except errors.BronzemuxError as error:
            message.reply.set_exception(error)
        except Exception as error:
            message.reply.set_exception(error)
            raise


class Supervisor(Task):
    """Task that starts child tasks and restarts only the child that fails (one-for-one).

    Args:
      name: Name in logs.
      clock: Source of time.
    """

    def __init__(self, name: str, clock: clocks.Clock):
        super().__init__(name, clock)
        self.children: list[Task] = []
        self.greenlets: dict[str, gevent.Greenlet] = {}
        self.restarts: dict[str, int] = {}

    def add(self, child: Task) -> None:
        """Start a child task, and restart it whenever it fails."""
        self.children.append(child)
        self.greenlets[child.name] = gevent.spawn(self._supervise, child)

    def remove(self, name: str) -> None:
        """Kill a child task by name without waiting for it to end; an unknown name is ignored."""
        self.children = [child for child in self.children if child.name != name]
        greenlet = self.greenlets.pop(name, None)
        if greenlet is not None:
            greenlet.kill(block=False)

    def _supervise(self, child: Task) -> None:
        backoff = RESTART_BACKOFF_SECONDS
        while True:
            started_at = self.clock.monotonic()
            try:
                child.run()
                return
            except Exception as error:  # noqa: BLE001 - any failure of a child is restarted
                self.restarts[child.name] = self.restarts.get(child.name, 0) + 1
                logs.failure("task_failed", error, task=child.name, restart_seconds=backoff)
            if self.clock.monotonic() - started_at > BACKOFF_RESET_SECONDS:
                backoff = RESTART_BACKOFF_SECONDS
            self.clock.sleep(backoff)
            backoff = min(backoff * 2, MAX_RESTART_BACKOFF_SECONDS)

    def stop(self) -> None:
        """Kill all children, the last started first."""
        for child in reversed(list(self.children)):
            if isinstance(child, Supervisor):
                child.stop()
            self.remove(child.name)

    def run(self) -> None:
        """Handle messages until `Stop` arrives, then kill the children."""
        super().run()
        self.stop()
