"""Decision at which endpoints a stream that has begun may go on.

What two software versions write does not fit together, and endpoints do not check it. This module
alone decides it, for continuations within one response and for callers that resume a stream.
"""

import typing

import gevent

from bronzemux import clock as clocks
from bronzemux import errors, logs
from bronzemux.gateway import (
    cluster_state,
    endpoints,
    failures,
    meters,
    orders,
    software_history,
    stream_origins,
)

if typing.TYPE_CHECKING:
    from bronzemux.gateway import job as jobs

# Pause before an origin is read again: it may be on its way from another router.
READ_PAUSE_SECONDS = 0.1
# Longer than the interval of the task that reads the history.
MAX_HISTORY_WAIT_SECONDS = 0.3
HISTORY_POLL_SECONDS = 0.02
# Longest wait for the entries of endpoints.
READ_ENTRIES_SECONDS = 0.4
# Retry-After of a refusal when the origin cannot be read for the moment.
RETRY_AFTER_SECONDS = 0.5
# Longest wait for the process that is asked when it started, which it answers within milliseconds:
# for the one that is to go on, and for the one that began the stream.
CONFIRM_SECONDS = 0.5
CONFIRM_ORIGIN_SECONDS = 0.2


class OriginReader(typing.Protocol):
    """Reads the origins that other routers stored."""

    def read(self, key: str) -> stream_origins.StreamOrigin | None:
        """Return the origin under a key, None when there is none; see `stream_origins`."""

    def read_versions(self, service: str) -> software_history.StoredVersions | None:
        """Return what is stored about the versions of a service, None when nothing is."""


class EntryReader(typing.Protocol):
    """Reads the entries of endpoints that have changed."""

    def apply_until(self, at: float) -> None:
        """Apply all changes that were made before a monotonic time; see `feed.CatchUp`."""


class Continuation:
    """Knows the origins of streams, and decides by them.

    Args:
      clock: Source of time.
      state: State of the cluster.
      origins: Origins of the streams of this router.
      history: Software versions that were in service.
      metrics: Metrics of the gateway.

    Attributes:
      reader: Reads what other routers stored; set when the gateway is assembled.
      entries: Brings the entries of endpoints up to date; set when the gateway is assembled.
      control: Asks endpoints for their status reports; set when the gateway is assembled.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        state: cluster_state.ClusterState,
        origins: stream_origins.StreamOrigins,
        history: software_history.SoftwareHistory,
        metrics: meters.GatewayMetrics,
    ):
        self.clock = clock
        self.cluster_state = state
        self.origins = origins
        self.history = history
        self.meters = metrics
        self.reader: OriginReader | None = None
        self.entries: EntryReader | None = None
        self.control: orders.EndpointControl | None = None

    # Beginning

    def record_first_event(self, job: "jobs.Job", state: endpoints.EndpointState) -> None:
        """Record which endpoint sent the first event of a stream."""
        if job.origin is not None:
            return
        entry = state.endpoint
        job.origin = stream_origins.StreamOrigin(
            job.service,
            "" if state.is_entry_doubtful else entry.software,
            entry.id,
            entry.started_at_ms,
        )
        if job.route.is_resumable:
            self.origins.note(_key(job, job.request.id), job.origin)

    # Return of a caller

    def resume(self, job: "jobs.Job") -> None:
        """Find out where the stream began that a caller resumes, and restrict the job to it.

        Raises:
          failures.RefusedError: When that is not known, or no endpoint can go on.
        """
        origin = self._find_origin(job)
        if origin is None or not self._is_certain(origin):
            self._refuse(job, "the software version that began the stream is not known")
        if origin.service != job.service:
            if all(share.service != origin.service for share in job.route.shares):
                self._refuse(job, "the route does not lead to the service that began the stream")
            job.service = origin.service
            listed = self.cluster_state.configuration.services.get(origin.service)
            job.engine = listed.engine if listed is not None else job.engine
        job.origin = origin
        self.check_endpoints(job)
        self.meters.resumptions.labels("known").inc()

    def _find_origin(self, job: "jobs.Job") -> stream_origins.StreamOrigin | None:
        """Return the origin of a stream that a caller resumes, None when it is not known.

        Raises:
          failures.RefusedError: When the store, which may have it, does not answer.
        """
        resumes = job.request.resumes
        key = _key(job, resumes) if resumes else None
        origin = self.origins.find(key) if key is not None else None
        if origin is not None:
            return origin
        try:
            origin = self._read_origin(job, key) or self._only_origin(job)
        except errors.PlatformError as error:
            logs.event("stream_origin_unread", "warning", id=job.request.id, cause=str(error))
            self._refuse(job, "the start of the stream cannot be looked up", RETRY_AFTER_SECONDS)
        if origin is not None and key is not None:
            self.origins.note(key, origin, is_stored=True)
        return origin

    def _await_history(self, job: "jobs.Job") -> None:
        """Wait for a short time until a router that has just started has read the history."""
        ends_at = self.clock.monotonic() + MAX_HISTORY_WAIT_SECONDS
        while (
            self.history.is_stored_due
            and self.history.only_version(job.service) is None
            and self.clock.monotonic() < ends_at
        ):
            self.clock.sleep(HISTORY_POLL_SECONDS)

    def _read_origin(self, job: "jobs.Job", key: str | None) -> stream_origins.StreamOrigin | None:
        """Return the origin that the store has, None when it has none, or without a key.

        Raises:
          errors.PlatformError: When the store does not answer in time.
        """
        origin = self.reader.read(key) if key is not None else None
        if origin is not None:
            return origin
        self._await_history(job)
        if key is None or self.history.only_version(job.service) is not None:
            return None
        self.clock.sleep(READ_PAUSE_SECONDS)
        return self.reader.read(key)

    def _only_origin(self, job: "jobs.Job") -> stream_origins.StreamOrigin | None:
        """Return the origin if one version began all streams, None when that is not so.

        Another router may already have begun streams at a version that this one has not heard of,
        so the store has to confirm it: by the entries of endpoints, which precede all streams, and
        by the versions that have left.

        Raises:
          errors.PlatformError: When the store does not answer in time.
        """
        only = self.history.only_version(job.service)
        if only is None:
            return None
        self._update_entries(job)
        if self.history.only_version(job.service) != only:
            return None
        stored = self.reader.read_versions(job.service)
        if stored is not None and stored.present | stored.left != {only}:
            return None
        return stream_origins.StreamOrigin(job.service, only)

    def _update_entries(self, job: "jobs.Job") -> None:
        """Apply the entries of endpoints that were written before a caller returned.

        Raises:
          errors.PlatformError: When the store does not answer in time.
        """
        expired = errors.PlatformUnavailableError(
            f"the store did not answer within {READ_ENTRIES_SECONDS:g} s", "retry later"
        )
        with gevent.Timeout(READ_ENTRIES_SECONDS, expired):
            self.entries.apply_until(job.arrived_at)

    def _refuse(self, job: "jobs.Job", message: str, retry_after: float = 0.0) -> typing.NoReturn:
        self.meters.resumptions.labels("refused").inc()
        raise failures.RefusedError(
            503, message, "send the request again from its start", retry_after
        )

    # Continuation

    def allows(self, job: "jobs.Job", state: endpoints.EndpointState) -> bool:
        """Return whether a request may go to an endpoint: to any before its first event."""
        if job.origin is None:
            return True
        return state.endpoint.software == job.origin.software and not state.is_entry_doubtful

    def confirm(self, job: "jobs.Job", state: endpoints.EndpointState) -> bool:
        """Ask the processes themselves whether a stream that has begun may go on at an endpoint.

        An entry may be older than the process that now has its identity and address. The connection
        for the request must already be open: it ends with its process, so that the process which
        answers is the one that gets the request.
        """
        if job.origin is None or job.engine_in(self.cluster_state.configuration) is None:
            return True
        began = self._begun_at(job.origin)
        target = gevent.spawn(self._is_current, state)
        first = gevent.spawn(self._is_current, began) if began not in (None, state) else None
        try:
            if first is not None:
                # It may have ended, so that it never answers.
                gevent.joinall([first], timeout=CONFIRM_ORIGIN_SECONDS)
            gevent.joinall([target], timeout=CONFIRM_SECONDS)
        finally:
            gevent.killall([found for found in (target, first) if found], block=False)
        answer = first.value if first is not None else target.value if began is state else None
        if answer is False:
            # Which of the two processes began the stream is not known.
            job.origin = job.origin._replace(software="")
        return target.value is True and self.is_possible(job)

    def _begun_at(self, origin: stream_origins.StreamOrigin) -> endpoints.EndpointState | None:
        """Return the endpoint that began a stream, None if it cannot be asked."""
        state = self.cluster_state.endpoints.states.get(origin.endpoint)
        if state is None or state.is_suspected:
            return None
        return state if state.endpoint.started_at_ms == origin.started_at_ms else None

    def _is_current(self, state: endpoints.EndpointState) -> bool | None:
        """Return whether an entry is that of the process, None when that does not answer."""
        report = self.control.report(state.endpoint)
        if report is None:
            return None
        if report.started_at_ms in (0, state.endpoint.started_at_ms):
            return True
        logs.event(
            "endpoint_entry_late",
            "warning",
            endpoint=state.endpoint.incarnation,
            software=state.endpoint.software,
            started=report.started_at_ms,
        )
        state.doubt_entry()
        return False

    def is_possible(self, job: "jobs.Job") -> bool:
        """Return whether it is certain at which software version a stream may go on."""
        return job.origin is None or self._is_certain(job.origin)

    def has_endpoint(self, job: "jobs.Job", besides: endpoints.EndpointState | None = None) -> bool:
        """Return whether a request may go to an endpoint of its service, besides a given one."""
        states = self.cluster_state.endpoints.of_service(job.service)
        return any(state is not besides and self.allows(job, state) for state in states)

    def check_endpoints(self, job: "jobs.Job") -> None:
        """Refuse a stream that cannot go on anywhere.

        Raises:
          failures.RefusedError: When no endpoint has the software version that began it.
        """
        if job.origin is not None and not self.has_endpoint(job):
            self._refuse(
                job, f"no endpoint has the software version {job.origin.software} of the stream"
            )

    def _is_certain(self, origin: stream_origins.StreamOrigin) -> bool:
        """Return whether the endpoint's entry was that of the process which began the stream.

        An endpoint may restart under its identity with other software; until its entry arrives, a
        router takes it for the one before.
        """
        table = self.cluster_state.endpoints
        if not origin.software or table.was_reinstalled(origin.endpoint, origin.started_at_ms):
            return False
        state = table.states.get(origin.endpoint)
        if state is None or state.endpoint.started_at_ms <= origin.started_at_ms:
            return True
        return state.endpoint.software == origin.software


def _key(job: "jobs.Job", request_id: str) -> str:
    return stream_origins.origin_key(job.team.name if job.team else "", request_id)
