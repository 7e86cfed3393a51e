"""Endpoints that may serve a request, by versions, exclusions and suspected crashes."""

import itertools
import random

import numpy as np

from bronzemux import clock as clocks
from bronzemux import continuation, fleet, messages, quarantine, requests

VersionOption = tuple[requests.Variant | None, np.ndarray]


class Candidates:
    """Candidate endpoints for the requests of one router.

    Args:
      endpoints: State of the endpoints.
      suspects: Suspected and quarantined fingerprints.
      running: Assignments in progress, by endpoint and request id.
      random_source: Random number generator for choices between weights versions.
      clock: Source of time.
    """

    def __init__(
        self,
        endpoints: fleet.Fleet,
        suspects: quarantine.Quarantine,
        running: dict[str, dict[str, messages.Assignment]],
        random_source: random.Random,
        clock: clocks.Clock,
    ):
        self.fleet = endpoints
        self.quarantine = suspects
        self.running = running
        self.random = random_source
        self.clock = clock

    def pick(self, message: messages.Admit) -> VersionOption | None:
        """Return a weights version and its endpoints that may serve a request, None for none.

        A request that is suspected of crashing endpoints is not assigned to an endpoint that runs
        another such request.
        """
        options = self._options(message)
        if self.quarantine.suspicion(message.request.fingerprints, self.clock.monotonic()):
            without_suspect = ~self._suspect_mask()
            options = [(variant, allowed & without_suspect) for variant, allowed in options]
        options = [option for option in options if option[1].any()]
        return self._pick_version(options) if options else None

    def _options(self, message: messages.Admit) -> list[VersionOption]:
        """Return the endpoints that may serve a request, by weights version.

        Excluded endpoints are allowed again when no others are left.
        """
        request = message.request
        if isinstance(request, requests.ServiceRequest):
            allowed = self.fleet.allowed("", request.service, message.excluded)
            return [(None, allowed if allowed.any() else self.configured(request))]
        variants, software = _variants(message), message.software
        found = [(v, self._serving(request, v, message.excluded, software)) for v in variants]
        if any(allowed.any() for _, allowed in found):
            return found
        return [(v, self._serving(request, v, frozenset(), software)) for v in variants]

    def _serving(
        self,
        request,
        variant: requests.Variant,
        excluded: frozenset[str],
        software: str | None = None,
    ) -> np.ndarray:
        return self.fleet.allowed(
            request.model, "", excluded, variant.weights_version, request.adapter, software
        )

    def has_successor(self, message: messages.Admit) -> bool:
        """Return whether a partly sent response may still be continued.

        It may not if endpoints of other software are reachable, and none of its own software that
        has not failed it. In an outage of all endpoints it waits as any request does.

        Args:
          message: Admission of the next attempt.
        """
        software = message.software
        if software is None:
            return True
        masks = [
            self._serving(message.request, variant, frozenset()) for variant in _variants(message)
        ]
        serving = itertools.compress(self.fleet.states.values(), np.logical_or.reduce(masks))
        reachable = [state for state in serving if self.fleet.is_reachable(state)]
        alike = [
            state.endpoint.name
            for state in reachable
            if state.software is None or continuation.may_continue(software, state.software)
        ]
        return len(alike) == len(reachable) or not message.failed.issuperset(alike)

    def configured(self, request: requests.Request) -> np.ndarray:
        """Return which endpoints serve the model or service of a request, as a boolean array."""
        if isinstance(request, requests.ServiceRequest):
            return self.fleet.allowed("", request.service, frozenset())
        masks = [self._serving(request, variant, frozenset()) for variant in request.variants]
        return np.logical_or.reduce(masks)

    def _pick_version(self, options: list[VersionOption]) -> VersionOption:
        """Choose a weights version at random, in proportion to the number of its endpoints."""
        if len(options) == 1:
            return options[0]
        counts = [int(allowed.sum()) for _, allowed in options]
        return self.random.choices(options, counts)[0]

    def _suspect_mask(self) -> np.ndarray:
        return np.array([self._runs_suspect(name) for name in self.fleet.states], dtype=bool)

    def _runs_suspect(self, name: str) -> bool:
        running = self.running.get(name, {}).values()
        now = self.clock.monotonic()
        return any(self.quarantine.suspicion(item.request.fingerprints, now) for item in running)


def _variants(message: messages.Admit) -> list[requests.Variant]:
    """Return the variants of a model request that may be sent next."""
    return [
        variant
        for variant in message.request.variants
        if message.weights_version in ("", variant.weights_version)
    ]
