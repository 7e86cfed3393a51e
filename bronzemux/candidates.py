"""Endpoints that may take a request, by weights version, health of content and exclusion."""

import random

import numpy as np

from bronzemux import fleet, messages, quarantine, requests

Option = tuple[requests.Variant | None, np.ndarray]


class Candidates:
    """Candidates for requests at one router.

    Args:
      known: The endpoints.
      suspects: Fingerprints that may crash endpoints.
      running: Requests by endpoint and id.
      source: Source of random choices between weights versions.
    """

    def __init__(
        self,
        known: fleet.Fleet,
        suspects: quarantine.Quarantine,
        running: dict[str, dict[str, requests.Request]],
        source: random.Random,
    ):
        self.fleet = known
        self.quarantine = suspects
        self.running = running
        self.random = source

    def pick(self, message: messages.Admit) -> Option | None:
        """Return one weights version and the endpoints that may take a request, None for none.

        A request whose content is suspected of crashing endpoints runs beside no other suspect.
        """
        options = self._options(message)
        if self.quarantine.is_suspect(message.request.fingerprint):
            free = ~self._suspect_mask()
            options = [(variant, allowed & free) for variant, allowed in options]
        options = [option for option in options if option[1].any()]
        return self._pick_version(options) if options else None

    def _options(self, message: messages.Admit) -> list[Option]:
        """Return the endpoints that may take a request, by weights version."""
        request = message.request
        if isinstance(request, requests.ServiceRequest):
            allowed = self.fleet.allowed("", request.service, message.excluded)
            return [(None, allowed if allowed.any() else self.configured(request))]
        variants = [
            variant
            for variant in request.variants
            if message.weights_version in ("", variant.weights_version)
        ]
        found = [(v, self._serving(request, v, message.excluded)) for v in variants]
        if any(allowed.any() for _, allowed in found):
            return found
        return [(v, self._serving(request, v, frozenset())) for v in variants]

    def _serving(self, request, variant: requests.Variant, excluded: frozenset[str]) -> np.ndarray:
        return self.fleet.allowed(
            request.model, "", excluded, variant.weights_version, request.adapter
        )

    def configured(self, request: requests.Request) -> np.ndarray:
        """Return the endpoints that are configured for a request."""
        if isinstance(request, requests.ServiceRequest):
            return self.fleet.allowed("", request.service, frozenset())
        masks = [self._serving(request, variant, frozenset()) for variant in request.variants]
        return np.logical_or.reduce(masks)

    def _pick_version(self, options: list[Option]) -> Option:
        """Return one weights version, in proportion to the endpoints that run it."""
        if len(options) == 1:
            return options[0]
        counts = [int(allowed.sum()) for _, allowed in options]
        return self.random.choices(options, counts)[0]

    def _suspect_mask(self) -> np.ndarray:
        return np.array([self._runs_suspect(name) for name in self.fleet.states], dtype=bool)

    def _runs_suspect(self, name: str) -> bool:
        running = self.running.get(name, {}).values()
        return any(self.quarantine.is_suspect(request.fingerprint) for request in running)
