"""One request from its caller to an endpoint and back."""

import gevent

from bronzemux import logs
from bronzemux.gateway import (
    admission,
    cache_index,
    channels,
    exchange,
    failures,
    http1,
    model,
    placement,
    waiting,
)
from bronzemux.gateway import job as jobs

# Attempts that are proved not to have run, beyond which a caller is told to come back.
MAX_REJECTIONS = 4
# A rejected attempt keeps others away for about the time in which a place becomes free.
PUSHBACK_SECONDS = 0.1
# Waiting requests look again at least this often, in case a wake-up was for another service.
WAIT_SLICE_SECONDS = 0.1
# Longest wait for an endpoint: two rounds of loading weights.
MAX_WAIT_SECONDS = 3.0
# The answer to a passed deadline must still reach the caller: a few link delays.
TIMEOUT_MARGIN_SECONDS = 0.02
# Requests that an engine takes beyond its batch, as a part of the batch.
QUEUE_SHARE = 1.0
# Part of an endpoint's memory that requests may take: what other routers have just sent there is
# not known yet, and the most shared prefixes stay cached.
MEMORY_SHARE = 0.85
# Oldest weights end this much before the bound, for requests on their way.
WEIGHTS_MARGIN_SECONDS = 1.0
# An endpoint that crashed cannot be reached for longer than this.
CRASH_SECONDS = 2.0
# Answers on replaced weights keep their whole worth for this long after newer ones were named.
FRESH_SECONDS = 1.5


class Forwarder:
    """Serves requests.

    Args:
      parts: What the requests share.
      routers: Returns the number of routers that share budgets.
    """

    def __init__(self, parts: jobs.Parts, routers):
        self.parts = parts
        self.clock = parts.clock
        self.routers = routers
        self.on_deaths = None
        self.lost: dict[str, list[tuple[str, float]]] = {}

    # Serving

    def serve(self, job: jobs.Job, caller) -> None:
        """Serve a job until the caller has its answer.

        Args:
          job: The job.
          caller: `ingress.CallerConnection`.

        Raises:
          failures.CallerLeftError: When the caller left.
          http1.EndOfStreamError: When an answer that has begun cannot be completed.
        """
        end = "left"
        try:
            end = self._serve_in_time(job, caller)
        finally:
            self._log(job, end)

    def _serve_in_time(self, job: jobs.Job, caller) -> str:
        left = job.deadline_at - self.clock.monotonic()
        passed = failures.DeadlineError("the deadline has passed", "allow more time")
        timer = gevent.Timeout(max(0.001, left - TIMEOUT_MARGIN_SECONDS), passed)
        timer.start()
        try:
            return self._run(job, caller)
        except failures.DeadlineError:
            if job.is_started:
                job.trail.append("deadline in the answer")
                raise http1.EndOfStreamError("deadline inside an answer") from None
            if job.runs or job.is_sent:
                return self._refuse(job, caller, 504, "no answer in time", None)
            return self._refuse(
                job, caller, 503, "no endpoint in time", admission.RETRY_AFTER_SECONDS
            )
        except failures.RefusedError as error:
            if job.is_started:
                raise http1.EndOfStreamError(error.message) from None
            if job.runs:
                return self._refuse(job, caller, 502, error.message, None)
            return self._refuse(job, caller, error.status, error.message, error.retry_after)
        finally:
            timer.close()

    def _run(self, job: jobs.Job, caller) -> str:
        choice = None
        while True:
            choice = choice or self._choose(job)
            job.choice = choice
            result = self._attempt(job, choice, caller)
            if isinstance(result, failures.Delivered):
                if self.parts.quarantine.deaths:
                    self.parts.quarantine.clear(admission.fingerprint(job))
                return f"{result.status}"
            self._note(job, choice, result)
            choice = self._continuation(job, choice, result)
            if choice is None and not self._may_repeat(job, result):
                return self._give_up(job, caller, result)
            self.parts.meters.retries.labels(job.service).inc()

    def _note(self, job: jobs.Job, choice: placement.Choice, result) -> None:
        state, now = choice.state, self.clock.monotonic()
        job.is_sent = False
        job.tried.add(state.endpoint.incarnation)
        job.trail.append(f"{state.endpoint.id}:{result.cause}")
        self.parts.meters.attempt_failures.labels(job.service, result.cause).inc()
        if isinstance(result, failures.NotRun):
            job.rejections += 1
            if result.is_sent:
                state.suspended_until = max(state.suspended_until, now + PUSHBACK_SECONDS)
            return
        job.runs += 1
        if result.answer is None or result.answer.status >= 500:
            state.record_failure(now)
        if result.is_crash:
            recent = self.lost.setdefault(state.endpoint.incarnation, [])
            recent.append((admission.fingerprint(job), now))

    def _may_repeat(self, job: jobs.Job, result) -> bool:
        now = self.clock.monotonic()
        if job.deadline_at - now < jobs.LEAST_SECONDS:
            return False
        if job.runs and not job.route.is_idempotent:
            return False
        if isinstance(result, failures.NotRun):
            if job.rejections >= MAX_REJECTIONS:
                return False
            return not result.is_sent or self._take_retry(job, now)
        if not job.route.is_idempotent or job.runs >= job.route.max_attempts:
            return False
        if job.is_started and job.last_event_id is None:
            return False
        return self._take_retry(job, now)

    def _continuation(self, job: jobs.Job, choice: placement.Choice, result):
        """Return where a run goes on from the copy of its memory, None when it cannot.

        It is the same run, so it may go on whatever the route allows, but only when the endpoint
        that began it is down: two must not work on it at the same time.
        """
        if not isinstance(result, failures.MayHaveRun) or result.answer is not None:
            return None
        backup, now = choice.backup, self.clock.monotonic()
        if backup is None or backup.is_gone or job.deadline_at - now < jobs.LEAST_SECONDS:
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
        return self.parts.budget.try_retry(job.service, self.routers(), now)

    def _give_up(self, job: jobs.Job, caller, result) -> str:
        if job.is_started:
            raise http1.EndOfStreamError(f"the answer broke: {result.cause}")
        if isinstance(result, failures.NotRun) and not job.runs:
            return self._refuse(job, caller, 503, result.cause, admission.RETRY_AFTER_SECONDS)
        if isinstance(result, failures.MayHaveRun) and result.answer is not None:
            exchange.deliver(self.parts, job, caller, result.answer, result.body)
            return f"{result.answer.status}"
        return self._refuse(job, caller, 502, result.cause, None)

    def _refuse(self, job: jobs.Job, caller, status: int, text: str, retry_after) -> str:
        self.parts.meters.refusals.labels(str(status)).inc()
        caller.refuse(job.request.id, status, text, retry_after)
        return f"{status} {text}"

    # Choice

    def _choose(self, job: jobs.Job) -> placement.Choice:
        started_at = self.clock.monotonic()
        until = min(job.deadline_at, started_at + MAX_WAIT_SECONDS)
        while True:
            now = self.clock.monotonic()
            choice = self._look(job, now, now - started_at < job.route.objective_seconds)
            if choice is not None:
                job.waited_seconds += now - started_at
                return choice
            if not any(self.parts.knowledge.endpoints.of_service(job.service)):
                raise failures.RefusedError(
                    503,
                    "the service has no endpoint",
                    "come back",
                    2 * admission.RETRY_AFTER_SECONDS,
                )
            if now >= until or self.parts.room.count(job.service) >= waiting.MAX_WAITING:
                raise failures.RefusedError(
                    503, "no endpoint became free", "come back", admission.RETRY_AFTER_SECONDS
                )
            wait = min(WAIT_SLICE_SECONDS, until - now)
            self.parts.room.wait(job.service, job.rank, job.arrived_at, wait)

    def _look(self, job: jobs.Job, now: float, needs_room: bool) -> placement.Choice | None:
        """Return where a request may go now.

        Args:
          job: The request.
          now: Monotonic seconds.
          needs_room: Whether it rather waits than takes the memory of others; a request that has
            waited for its objective takes its chance.
        """
        table = self.parts.knowledge.endpoints
        states = table.usable(job.service, now)
        states = [s for s in states if s.endpoint.incarnation not in job.tried] or states
        config = self.parts.knowledge.configuration
        service = config.services.get(job.service)
        place = placement.Place(
            self.parts.settings.data_centre,
            self.parts.index,
            tuple(
                (s.cache_store, s.data_centre)
                for s in config.cache_stores()
                if self.parts.index.is_store_up(s.cache_store)
            ),
        )
        prompt = job.request.prompt
        if service is None or service.engine is None or prompt is None:
            return placement.choose_plain(states, place, now)
        need = placement.Need(
            prompt,
            job.team.name if job.team and job.team.is_isolated else "",
            job.route.objective_seconds,
            self._named_before(prompt.model, now - self._weights_bound()),
            self._named_before(prompt.model, now - FRESH_SECONDS),
            int(service.engine.slots * (1 + QUEUE_SHARE)),
            # What may be sent again needs no copy, as another endpoint can begin anew.
            is_backed_up=(
                service.engine.has_backups
                and job.route.kind is model.RouteKind.STREAM
                and not job.route.is_resumable
            ),
            memory=int(service.engine.cache_tokens * MEMORY_SHARE) if needs_room else 0,
        )
        return placement.choose_engine(states, need, place, now)

    def _weights_bound(self) -> float:
        return self.parts.settings.bounds.weights_seconds - WEIGHTS_MARGIN_SECONDS

    def _named_before(self, name: str, at: float) -> int:
        """Return the version of a model's weights that was named before a time, 0 for none."""
        target = self.parts.knowledge.target(name)
        return target.named_before(at) if target is not None else 0

    # Attempt

    def _attempt(self, job: jobs.Job, choice: placement.Choice, caller):
        state = choice.state
        prompt = job.request.prompt
        memory = prompt.memory_tokens if prompt is not None else 0
        holders = [state] if choice.backup is None else [state, choice.backup]
        state.in_flight += 1
        state.backlog_tokens += choice.read_tokens
        for holder in holders:
            holder.memory_tokens += memory
        attempt = exchange.Exchange(self.parts, job, choice, caller, self.routers())
        try:
            return attempt.run()
        finally:
            state.in_flight -= 1
            for holder in holders:
                holder.memory_tokens -= memory
            attempt.settle_backlog()
            self.parts.room.wake()

    # Deaths

    def forget_losses(self) -> None:
        """Drop losses whose endpoint did not prove to be down in time."""
        oldest = self.clock.monotonic() - CRASH_SECONDS
        for incarnation in [key for key, found in self.lost.items() if found[-1][1] < oldest]:
            del self.lost[incarnation]

    def confirm_death(self, incarnation: str) -> None:
        """Count the requests that were lost at an endpoint that proved to be down."""
        now = self.clock.monotonic()
        prints = [p for p, at in self.lost.pop(incarnation, []) if now - at < CRASH_SECONDS]
        if not prints:
            return
        for item in self.parts.quarantine.record_death(incarnation, incarnation, prints, now):
            logs.event("request_quarantined", "warning", fingerprint=item, endpoint=incarnation)
        if self.on_deaths is not None:
            self.on_deaths(incarnation, prints)

    # Log

    def _log(self, job: jobs.Job, end: str) -> None:
        now = self.clock.monotonic()
        total = now - job.arrived_at
        service = job.service
        self.parts.meters.requests.labels(service, end[:3]).inc()
        self.parts.meters.total.labels(service).observe(total)
        self.parts.meters.waited.labels(service).observe(job.waited_seconds)
        if job.first_at is not None:
            self.parts.meters.first_event.labels(service).observe(job.first_at - job.arrived_at)
        choice = job.choice
        logs.event(
            "request",
            id=job.request.id,
            route=job.route.name,
            config=job.config_version,
            service=service,
            endpoint=choice.state.endpoint.id if choice else "none",
            weights=choice.weights if choice else None,
            considered=choice.considered if choice else 0,
            expected=choice.expected_seconds if choice else 0.0,
            cached=choice.cached_tokens if choice else 0,
            tokens=job.request.prompt.tokens if job.request.prompt else 0,
            prefix=self._prefix(job),
            fetch=choice.fetch_from if choice else "",
            save=bool(choice and choice.save_to),
            waited=job.waited_seconds,
            first=(job.first_at - job.arrived_at) if job.first_at is not None else None,
            total=total,
            runs=job.runs,
            rejected=job.rejections,
            trail=",".join(job.trail),
            end=end,
        )

    def _prefix(self, job: jobs.Job) -> str:
        """Return a short name of the shared part of the prompt, for logs."""
        prompt, choice = job.request.prompt, job.choice
        if prompt is None or choice is None or not choice.salt or not prompt.shared_parts:
            return ""
        return cache_index.prefix_keys(choice.salt, prompt.shared_parts)[-1][0].hex()[:8]
