"""Forwarding of one request from its caller to an endpoint, with retries."""

from collections.abc import Callable

from bronzemux import interruption, logs, quarantine
from bronzemux.gateway import (
    admission,
    cache_index,
    channels,
    endpoint_notices,
    endpoints,
    exchange,
    failures,
    http1,
    model,
    placement,
    shortage,
    waiting,
)
from bronzemux.gateway import job as jobs

# After this many attempts that were provably not executed, the caller is told to retry later.
MAX_REJECTIONS = 4
# An endpoint that rejected a request gets no requests for about the time in which a slot becomes
# free.
REJECTION_BACKOFF_SECONDS = 0.1
# Waiting requests retry the choice of an endpoint at least this often, in case a wake-up was for
# another service.
RECHECK_SECONDS = 0.1
# Longest wait for an endpoint: two rounds of loading weights.
MAX_WAIT_SECONDS = 3.0
# A few link delays: the error response for a request that times out still has to reach the caller
# before the deadline.
TIMEOUT_MARGIN_SECONDS = 0.02
# Requests that may queue at an engine, as a multiple of its slots.
QUEUE_PER_SLOT = 1.0
# Fraction of an endpoint's KV memory that requests may take. The rest allows for requests that
# other routers have just sent there, and keeps the most shared prefixes cached.
MAX_MEMORY_FRACTION = 0.85
# Requests stop using replaced weights this long before the bound, because a request needs time to
# reach its endpoint.
WEIGHTS_MARGIN_SECONDS = 1.0
# A suspect that was lost in this many crashes is sent to one endpoint at a time.
SERIAL_SUSPICION = 2
# Endpoints among which a suspect goes to the one with the fewest requests.
SUSPECT_ENDPOINTS = 2
# Responses on replaced weights keep their full value for this long after newer weights were
# requested.
STALE_WEIGHTS_GRACE_SECONDS = 1.5


class Forwarder:
    """Forwards requests to endpoints.

    Attributes:
      on_first_request: Called when a request goes to an endpoint while no other one is at any.
      in_flight: Requests at endpoints.
      demand: What the requests need that wait for room at engines.
      shutdown: Returns the graceful shutdown in progress, None if there is none.

    Args:
      components: Components of the gateway.
      router_count: Returns the number of routers that share the retry budget.
    """

    def __init__(self, components: jobs.Components, router_count):
        self.components = components
        self.clock = components.clock
        self.router_count = router_count
        self.on_first_request: Callable[[], None] = lambda: None
        self.in_flight = 0
        self.demand = shortage.DemandMeter()
        self.shutdown: Callable[[], admission.Shutdown | None] = lambda: None

    # Serving

    def serve(self, job: jobs.Job, caller) -> None:
        """Serve a job until the caller has its response.

        Args:
          job: The job.
          caller: `ingress.CallerConnection`.

        Raises:
          failures.CallerLeftError: When the caller disconnected.
          http1.EndOfStreamError: When a response that has started cannot be completed.
        """
        end = "failed"
        try:
            end = self._serve_until_deadline(job, caller)
        except failures.CallerLeftError:
            end = "left"
            raise
        except http1.EndOfStreamError:
            end = "cut"
            raise
        finally:
            self._log(job, end)

    def _serve_until_deadline(self, job: jobs.Job, caller) -> str:
        remaining = job.deadline_at - self.clock.monotonic()
        expired = failures.DeadlineError("the deadline has passed", "allow more time")
        seconds = max(0.001, remaining - TIMEOUT_MARGIN_SECONDS)
        try:
            with interruption.Timer(seconds, expired, self.clock):
                return self._serve_with_retries(job, caller)
        except failures.DeadlineError:
            if caller.has_begun:
                job.failed_attempts.append("deadline passed during the response")
                raise http1.EndOfStreamError("deadline passed during the response") from None
            if job.may_have_run:
                return self._refuse(job, caller, 504, "no response before the deadline", None)
            return self._refuse(
                job, caller, 503, "no endpoint before the deadline", self._retry_after(job)
            )
        except failures.RefusedError as error:
            if caller.has_begun:
                raise http1.EndOfStreamError(error.message) from None
            if job.may_have_run:
                return self._refuse(job, caller, error.status_if_sent, error.message, None)
            return self._refuse(job, caller, error.status, error.message, error.retry_after)

    def _serve_with_retries(self, job: jobs.Job, caller) -> str:
        if job.request.last_event_id is not None and job.route.kind is model.RouteKind.STREAM:
            self.components.continuation.resume(job)
        choice = None
        while True:
            choice = choice or self._choose(job)
            job.choice = choice
            result = self._attempt(job, choice, caller)
            if isinstance(result, failures.Delivered):
                self.components.crashes.record_success(job.content_fingerprint)
                return f"{result.status}"
            self._record_failure(job, choice, result)
            if isinstance(result, failures.PossiblyExecuted) and result.is_crash:
                self.components.crashes.wait_until_checked(choice.state.endpoint.incarnation)
            # An error response of the endpoint is delivered even when a verdict applies by then.
            if isinstance(result, failures.NotExecuted) or result.response is None:
                admission.check_quarantine(self.components, job, self.clock.monotonic())
            successor = getattr(result, "successor", None)
            choice = successor or self._continue_from_backup(job, choice, result)
            if choice is None and not self._may_retry(job, result):
                return self._give_up(job, caller, result)
            self.components.meters.retries.labels(job.service).inc()

    def _record_failure(self, job: jobs.Job, choice: placement.Choice, result) -> None:
        state, now = choice.state, self.clock.monotonic()
        if isinstance(result, failures.PossiblyExecuted):
            job.executions += 1
        job.is_attempt_in_flight = False
        job.tried.add(state.endpoint.incarnation)
        software = state.endpoint.software
        job.failed_attempts.append(f"{state.endpoint.id}@{software}:{result.cause}")
        self.components.meters.attempt_failures.labels(job.service, result.cause).inc()
        if isinstance(result, failures.NotExecuted):
            job.rejections += 1
            if result.has_arrived:
                state.suspended_until = max(state.suspended_until, now + REJECTION_BACKOFF_SECONDS)
            return
        if result.response is None or result.response.status >= 500:
            state.record_failure(now)
        if result.cause == "lost":
            self._log_lost_attempt(job, state, result)
        if result.is_crash:
            # A response that had begun shows that the endpoint does not crash on the parts.
            names = (job.content_fingerprint,) if result.has_begun else job.fingerprints
            lost = quarantine.LostRequest(names, job.sent_at)
            self.components.crashes.record_lost(state, lost)

    def _log_lost_attempt(self, job: jobs.Job, state, result: failures.PossiblyExecuted) -> None:
        prompt = job.request.prompt
        logs.event(
            "attempt_lost",
            id=job.request.id,
            endpoint=state.endpoint.incarnation,
            begun=result.has_begun,
            counted=result.is_crash,
            fingerprint=job.content_fingerprint,
            parts=",".join(prompt.part_ids[:-1]) if prompt else "",
        )

    def _may_retry(self, job: jobs.Job, result) -> bool:
        """Return whether a request may be sent again; takes the retry out of the budget."""
        now = self.clock.monotonic()
        if job.deadline_at - now < jobs.MIN_ATTEMPT_SECONDS:
            return False
        if job.executions and not job.route.is_idempotent:
            return False
        if not self.components.continuation.is_possible(job):
            return False
        if isinstance(result, failures.NotExecuted):
            if job.rejections >= MAX_REJECTIONS:
                return False
            return not result.has_arrived or self._take_retry(job, now)
        if not job.route.is_idempotent or job.executions >= job.route.max_attempts:
            return False
        if job.is_response_started and job.last_event_id is None:
            return False
        return self._take_retry(job, now)

    def _continue_from_backup(self, job: jobs.Job, choice: placement.Choice, result):
        """Return the choice that continues a request from its KV backup, None when none can.

        This is the same execution, so it may continue even if the route allows no retry, but only
        when the endpoint that started it is down: two must not execute it at the same time.
        """
        if not isinstance(result, failures.PossiblyExecuted) or result.response is not None:
            return None
        backup, now = choice.backup, self.clock.monotonic()
        if (
            backup is None
            or backup.is_gone
            or backup.withdrawal(now)
            or not self.components.continuation.allows(job, backup)
            or not self.components.continuation.is_possible(job)
            or job.deadline_at - now < jobs.MIN_ATTEMPT_SECONDS
        ):
            return None
        address = choice.state.endpoint.address
        is_down = choice.state.is_down or not channels.is_reachable(address)
        has_budget = is_down and self._take_retry(job, now)
        logs.event(
            "run_continued" if has_budget else "run_lost",
            id=job.request.id,
            endpoint=choice.state.endpoint.incarnation,
            cause=result.cause,
            down=is_down,
            backup=backup.endpoint.incarnation,
            after=job.last_event_id,
        )
        return placement.continuation(choice) if has_budget else None

    def _take_retry(self, job: jobs.Job, now: float) -> bool:
        return self.components.budget.try_retry(job.service, self.router_count(), now)

    def _give_up(self, job: jobs.Job, caller, result) -> str:
        if job.is_response_started:
            raise http1.EndOfStreamError(f"the response broke off: {result.cause}")
        if isinstance(result, failures.NotExecuted) and not job.executions:
            return self._refuse(job, caller, 503, result.cause, self._retry_after(job))
        if isinstance(result, failures.PossiblyExecuted) and result.response is not None:
            exchange.send_response(self.components, job, caller, result.response, result.body)
            return f"{result.response.status}"
        return self._refuse(job, caller, 502, result.cause, None)

    def _refuse(self, job: jobs.Job, caller, status: int, message: str, retry_after) -> str:
        self.components.meters.refusals.labels(str(status)).inc()
        caller.refuse(job.request.id, status, message, retry_after)
        return f"{status} {message}"

    # Choice

    def _choose(self, job: jobs.Job) -> placement.Choice:
        """Return the endpoint for a request, after waiting for one if necessary.

        Raises:
          failures.RefusedError: When none becomes available in time.
        """
        started_at = self.clock.monotonic()
        give_up_at = min(job.deadline_at, started_at + MAX_WAIT_SECONDS)
        is_ordered, has_waited = self._is_ordered(job), False
        if is_ordered:
            self.demand.record(job.request.prompt.memory_tokens, started_at)
        while True:
            now = self.clock.monotonic()
            admission.check_quarantine(self.components, job, now)
            self._check_shutdown(job, now)
            choice = self._try_choose(job, now, now - started_at < job.route.objective_seconds)
            if choice is not None:
                self._check_shutdown(job, now, choice.expected_seconds)
                job.waited_seconds += now - started_at
                if is_ordered and has_waited:
                    job.has_awaited_room = True
                    if not self._demand(job, now).is_small:
                        self.components.wait_queue.record_grant(job.service, now)
                return choice
            if not any(self.components.cluster_state.endpoints.of_service(job.service)):
                raise failures.RefusedError(
                    503,
                    "the service has no endpoint",
                    "retry later",
                    2 * admission.RETRY_AFTER_SECONDS,
                )
            self.components.continuation.check_endpoints(job)
            self._check_pauses(job, now)
            if is_ordered:
                self._check_start(job, now)
            if (
                now >= give_up_at
                or self.components.wait_queue.count(job.service) >= waiting.MAX_WAITING_REQUESTS
            ):
                raise failures.RefusedError(
                    503, "no endpoint became free", "retry later", self._retry_after(job)
                )
            wait = min(RECHECK_SECONDS, give_up_at - now)
            self.components.wait_queue.wait(job.service, job.urgency, job.arrived_at, wait)
            has_waited = True

    def _is_ordered(self, job: jobs.Job) -> bool:
        """Return whether a request waits in this router until an engine has room for it.

        A stream that has begun does not, as its caller waits for the next event.
        """
        if job.may_have_run or job.last_event_id is not None:
            return False
        minimum = self.components.settings.min_pause_objective_seconds
        return (
            job.engine_in(self.components.cluster_state.configuration) is not None
            and job.request.prompt is not None
            and job.route.kind is model.RouteKind.STREAM
            and job.route.pause_objective_seconds >= minimum
        )

    def _check_start(self, job: jobs.Job, now: float) -> None:
        """Refuse a request that cannot start early enough, or will not by what is known.

        Raises:
          failures.RefusedError: When that is so.
        """
        route, queue = job.route, self.components.wait_queue
        start_by = job.arrived_at + shortage.start_within(
            route.objective_seconds,
            route.pause_objective_seconds,
            job.deadline_at - job.arrived_at,
        )
        place, interval = 0, None
        if not self._demand(job, now).is_small:
            place = queue.place(job.service, job.urgency, job.arrived_at)
            interval = queue.grant_interval(job.service)
        action = shortage.decide(start_by - now, place, interval)
        if action is shortage.Action.WAIT:
            return
        retry_after = max(
            self._retry_after(job), shortage.retry_after(start_by - now, place, interval)
        )
        self.components.meters.shortage_refusals.labels(job.service, action.value).inc()
        usable = self._usable(job, now)
        ages = [now - at for state in usable for _, at in state.peer_loads.values()]
        logs.event(
            "shortage_refused",
            id=job.request.id,
            service=job.service,
            reason=action.value,
            urgency=job.urgency,
            waited=now - job.arrived_at,
            left=start_by - now,
            place=place,
            interval=interval,
            retry_after=retry_after,
            usable=len(usable),
            oldest_report=max(ages, default=None),
        )
        raise failures.RefusedError(503, "no endpoint has room in time", "retry later", retry_after)

    def _demand(self, job: jobs.Job, now: float) -> shortage.Demand:
        """Return what a request needs of an engine."""
        prompt = job.request.prompt
        return shortage.Demand(
            job.urgency,
            now - job.arrived_at,
            job.route.objective_seconds,
            prompt.tokens,
            prompt.memory_tokens,
        )

    def _with_room(self, job: jobs.Job, states: list, now: float) -> list:
        """Return those of some endpoints that have room for a request, by the load of all routers.

        A request does not pass those that wait before it in this router, unless it is small.
        """
        engine = job.engine_in(self.components.cluster_state.configuration)
        demand = self._demand(job, now)
        queue = self.components.wait_queue
        if not demand.is_small and queue.place(job.service, job.urgency, job.arrived_at):
            return []
        rate = placement.PREFILL_TOKENS_PER_SECOND
        free = []
        for state in states:
            requests, tokens, _, memory = state.all_loads(now)
            room = shortage.Room(requests, tokens, memory, engine.slots, engine.cache_tokens)
            if shortage.has_room(room, demand, rate):
                free.append((state, shortage.free_tokens(room, demand, rate)))
        if demand.is_small:
            return [state for state, _ in free]
        unseen = self.demand.unseen_tokens(self.router_count(), now)
        found = []
        for state, tokens in free:
            probability = shortage.offer_probability(tokens, len(free), unseen)
            if shortage.is_offered(job.request.id, state.endpoint.incarnation, now, probability):
                found.append(state)
        return found

    def _shortest_pause(self, job: jobs.Job, now: float) -> float | None:
        states = self.components.cluster_state.endpoints.of_service(job.service)
        return endpoint_notices.shortest_pause(states, now)

    def _check_pauses(self, job: jobs.Job, now: float) -> None:
        """Refuse a request if all its endpoints have asked for a pause that it should not await.

        Raises:
          failures.RefusedError: When that is so.
        """
        pause = self._shortest_pause(job, now)
        objective_at = job.arrived_at + job.route.objective_seconds
        if pause is None or endpoint_notices.should_wait(pause, objective_at, job.deadline_at, now):
            return
        raise failures.RefusedError(
            503, "all endpoints asked for a pause", "retry after the pause", pause
        )

    def _retry_after(self, job: jobs.Job) -> float:
        """Return the seconds after which a retry of a refused request is useful."""
        pause = self._shortest_pause(job, self.clock.monotonic())
        return max(admission.RETRY_AFTER_SECONDS, pause or 0.0)

    def _check_shutdown(self, job: jobs.Job, now: float, expected_seconds: float = 0.0) -> None:
        """Refuse a request that has waited until late in a shutdown, or will last beyond its end.

        Raises:
          failures.ShutdownError: When another router should serve the request.
        """
        shutdown = self.shutdown()
        if shutdown is None or job.may_have_run:
            return
        if shutdown.refuses(now, job.deadline_at, expected_seconds):
            raise failures.ShutdownError()

    def _try_choose(
        self, job: jobs.Job, now: float, has_memory_limit: bool
    ) -> placement.Choice | None:
        """Return the endpoint that a request may go to now, None if it has to wait.

        Args:
          job: The request.
          now: Monotonic seconds.
          has_memory_limit: Whether the request has to wait while there is not enough KV memory for
            it; False once it has waited for its objective.
        """
        usable = self._usable(job, now)
        untried = [s for s in usable if s.endpoint.incarnation not in job.tried]
        states = untried or usable
        if self._is_ordered(job):
            states, has_memory_limit = self._with_room(job, states, now), False
            if not states:
                return None
        return self._choose_among(states, job, now, has_memory_limit)

    def _usable(self, job: jobs.Job, now: float) -> list[endpoints.EndpointState]:
        """Return the endpoints that may get a request now."""
        usable = self.components.cluster_state.endpoints.usable(job.service, now)
        if job.origin is None:
            return usable
        return [state for state in usable if self.components.continuation.allows(job, state)]

    def _reserve_successor(
        self, job: jobs.Job, current: endpoints.EndpointState
    ) -> placement.Choice | None:
        """Return the choice of another endpoint for a request that waits for a silent one.

        Takes the retry out of the budget.

        Args:
          job: The request.
          current: The silent endpoint.
        """
        now = self.clock.monotonic()
        usable = self._usable(job, now)
        others = [state for state in usable if state is not current]
        untried = [s for s in others if s.endpoint.incarnation not in job.tried]
        states = untried or others
        choice = self._choose_among(states, job, now, has_memory_limit=False) if states else None
        return choice if choice is not None and self._take_retry(job, now) else None

    def _choose_among(
        self, states: list, job: jobs.Job, now: float, has_memory_limit: bool
    ) -> placement.Choice | None:
        """Return the best of some endpoints for a request, None when none can take it now."""
        config = self.components.cluster_state.configuration
        engine = job.engine_in(config)
        view = placement.GatewayView(
            self.components.settings.data_centre,
            self.components.index,
            tuple(
                (s.cache_store, s.data_centre)
                for s in config.cache_stores()
                if self.components.index.is_store_up(s.cache_store)
            ),
        )
        prompt = job.request.prompt
        if engine is None or prompt is None:
            choices = (placement.choose_plain(s, view, now) for s in self._isolate(job, states))
            return next(filter(None, choices), None)
        requirements = placement.Requirements(
            prompt,
            job.namespace_in(config),
            job.route.objective_seconds,
            self._newest_version_before(prompt.model, now - self._max_weights_age_seconds()),
            self._newest_version_before(prompt.model, now - STALE_WEIGHTS_GRACE_SECONDS),
            int(engine.slots * (1 + QUEUE_PER_SLOT)),
            # A request that may be retried needs no KV backup: another endpoint can restart it.
            needs_backup=(
                engine.has_backups
                and job.route.kind is model.RouteKind.STREAM
                and not job.route.is_resumable
            ),
            max_memory_tokens=(
                int(engine.cache_tokens * MAX_MEMORY_FRACTION) if has_memory_limit else 0
            ),
        )
        choices = (
            placement.choose_engine(s, requirements, view, now) for s in self._isolate(job, states)
        )
        return next(filter(None, choices), None)

    def _isolate(self, job: jobs.Job, states: list) -> list[list]:
        """Return the lists of endpoints among which one is chosen, the preferred list first.

        A request that is suspected of crashing endpoints goes to an endpoint with no other suspect,
        so that a crash accuses only one. Different suspects prefer different endpoints; of these,
        the one with the fewest requests is used. Other requests avoid endpoints with suspects.

        Returns:
          Lists of `endpoints.EndpointState`; none when the request has to wait for the outcome of
          another suspect.
        """
        suspects, now = self.components.quarantine, self.clock.monotonic()
        suspicion = suspects.suspicion(job.fingerprints, now)
        without = [state for state in states if not state.suspect_count]
        if not suspicion:
            return [without or states]
        if suspicion >= SERIAL_SUSPICION and any(
            state.suspect_count for state in self.components.cluster_state.endpoints.states.values()
        ):
            return []
        name = suspects.prime_suspect(job.fingerprints, now).encode()
        ranked = sorted(without, key=lambda state: placement.hash_rank(name, state.hash_name))
        preferred = sorted(ranked[:SUSPECT_ENDPOINTS], key=lambda state: state.load(now)[0])[:1]
        return [preferred, without]

    def _max_weights_age_seconds(self) -> float:
        return self.components.settings.bounds.weights_seconds - WEIGHTS_MARGIN_SECONDS

    def _newest_version_before(self, name: str, at: float) -> int:
        """Return the newest version of a model's weights requested before a time, 0 for none."""
        target = self.components.cluster_state.target(name)
        return target.newest_before(at) if target is not None else 0

    # Attempt

    def _attempt(self, job: jobs.Job, choice: placement.Choice, caller):
        """Make one attempt; its load counts at the endpoint and its backup until it ends."""
        state = choice.state
        prompt = job.request.prompt
        memory = prompt.memory_tokens if prompt is not None else 0
        reserved = [state] if choice.backup is None else [state, choice.backup]
        state.in_flight += 1
        self.in_flight += 1
        job.sent_at = self.clock.monotonic()
        if self.in_flight == 1:
            self.on_first_request()
        state.backlog_tokens += choice.prefill_tokens
        for endpoint_state in reserved:
            endpoint_state.memory_tokens += memory
        attempt = exchange.Exchange(
            self.components,
            job,
            choice,
            caller,
            self.router_count(),
            lambda: self._reserve_successor(job, state),
        )
        if self.components.quarantine.suspicion(job.fingerprints, job.sent_at):
            attempt.mark_suspect()
        try:
            return attempt.run()
        finally:
            attempt.release_suspect()
            state.in_flight -= 1
            self.in_flight -= 1
            for endpoint_state in reserved:
                endpoint_state.memory_tokens -= memory
            attempt.release_backlog()
            self.components.wait_queue.wake()

    # Log

    def _log(self, job: jobs.Job, end: str) -> None:
        now = self.clock.monotonic()
        total = now - job.arrived_at
        service = job.service
        self.components.meters.requests.labels(service, end[:3]).inc()
        self.components.meters.total.labels(service).observe(total)
        self.components.meters.waited.labels(service).observe(job.waited_seconds)
        if job.route.kind is model.RouteKind.STREAM and job.first_at is not None:
            self.components.meters.pause.labels(service).observe(job.longest_pause)
        if job.first_at is not None:
            self.components.meters.first_event.labels(service).observe(
                job.first_at - job.arrived_at
            )
            is_late = job.first_at - job.arrived_at > job.route.objective_seconds
            if is_late and job.has_awaited_room:
                self.components.meters.late_starts.labels(service).inc()
        choice = job.choice
        logs.event(
            "request",
            id=job.request.id,
            route=job.route.name,
            config=job.config_version,
            service=service,
            endpoint=choice.state.endpoint.id if choice else "none",
            software=choice.state.endpoint.software if choice else "",
            resumes=job.request.resumes or "",
            weights=choice.weights if choice else None,
            considered=choice.candidate_count if choice else 0,
            expected=choice.expected_seconds if choice else 0.0,
            cached=choice.cached_tokens if choice else 0,
            tokens=job.request.prompt.tokens if job.request.prompt else 0,
            prefix=self._prefix(job),
            fetch=choice.fetch_from if choice else "",
            save=bool(choice and choice.save_to),
            waited=job.waited_seconds,
            first=(job.first_at - job.arrived_at) if job.first_at is not None else None,
            pause=job.longest_pause,
            total=total,
            runs=job.executions,
            rejected=job.rejections,
            trail=",".join(job.failed_attempts),
            end=end,
        )

    def _prefix(self, job: jobs.Job) -> str:
        """Return an abbreviated key of the prompt's longest shared prefix, for logs."""
        prompt, choice = job.request.prompt, job.choice
        if prompt is None or choice is None or not choice.salt or not prompt.shared_parts:
            return ""
        return cache_index.prefix_keys(choice.salt, prompt.shared_parts)[-1][0].hex()[:8]
