"""Errors that other greenlets raise in the greenlet of a request."""

import gevent

from bronzemux import clock as clocks

# A timer that expires later than this shows that the process stood still.
PAUSE_SECONDS = 0.05
# Time for the event loop to hand over what arrived during a pause.
AFTER_PAUSE_SECONDS = 0.02


class Scope:
    """Scope in which other greenlets can raise one error in the greenlet that entered it.

    A context manager. Unlike with `gevent.kill`, an error that comes after the end of the scope, or
    after another one, is dropped: the greenlet may serve another request by then.
    """

    def __init__(self):
        self.greenlet: gevent.Greenlet | None = None
        self.is_active = False

    def __enter__(self):
        self.greenlet = gevent.getcurrent()
        self.is_active = True
        return self

    def __exit__(self, *exception):
        self.is_active = False

    def interrupt(self, error: Exception) -> None:
        """Raise an error in the greenlet in the next iteration of the event loop.

        Args:
          error: The error.
        """
        gevent.get_hub().loop.run_callback(self._raise, error)

    def _raise(self, error: Exception) -> None:
        if self.is_active:
            self.is_active = False
            self.greenlet.throw(error)


class Timer:
    """Raise an error in the greenlet that entered the context when a time is over.

    A context manager. After a pause of the process, the greenlet first gets the bytes that arrived
    meanwhile, and may end the context with them.

    Args:
      seconds: The time, more than 0.
      error: The error.
      clock: Source of time.
    """

    def __init__(self, seconds: float, error: Exception, clock: clocks.Clock):
        self.seconds = seconds
        self.error = error
        self.clock = clock
        self.greenlet: gevent.Greenlet | None = None
        self.ends_at = 0.0
        self.timer = None

    def __enter__(self):
        self.greenlet = gevent.getcurrent()
        self.ends_at = self.clock.monotonic() + self.seconds
        self._start(self.seconds, self._on_expiry)
        return self

    def __exit__(self, *exception):
        self._stop()

    def _start(self, seconds: float, function) -> None:
        self._stop()
        self.timer = gevent.get_hub().loop.timer(seconds)
        self.timer.start(function)

    def _stop(self) -> None:
        if self.timer is not None:
            self.timer.stop()
            self.timer.close()
            self.timer = None

    def _on_expiry(self) -> None:
        late_seconds = self.clock.monotonic() - self.ends_at
        if late_seconds < 0:
            # The event loop counts from the start of the iteration in which the timer was started.
            self._start(-late_seconds, self._on_expiry)
        elif late_seconds > PAUSE_SECONDS:
            self._start(AFTER_PAUSE_SECONDS, self._raise)
        else:
            self._raise()

    def _raise(self) -> None:
        self.greenlet.throw(self.error)
