"""Immutable snapshot of a configuration; a request uses the same one from start to end."""

import dataclasses
import hmac
from collections.abc import Mapping

from bronzemux import config, errors

KEY_BUCKET_DIGITS = 16
DEFAULT_OBJECTIVE = config.Objective()


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A configuration with its version, the preset in force and look-up tables.

    Attributes:
      version: Version of the configuration head; 0 before the first configuration.
      config: The configuration.
      preset: The preset in force.
      teams: Key digests and their teams, by the first `KEY_BUCKET_DIGITS` digits of the digest.
      models: Models by name.
      endpoints: Endpoints by name.
    """

    version: int
    config: config.Config
    preset: config.Preset
    teams: Mapping[str, tuple[tuple[str, config.Team], ...]]
    models: Mapping[str, config.Model]
    endpoints: Mapping[str, config.Endpoint]

    def authenticate(self, key: str) -> config.Team:
        """Return the team of a key.

        Digests are looked up by their first digits and then compared in constant time.

        Args:
          key: Bearer key of the caller.

        Raises:
          errors.AuthenticationFailedError: When no team has this key.
        """
        digest = config.digest_key(key)
        found = None
        for candidate, team in self.teams.get(digest[:KEY_BUCKET_DIGITS], ()):
            if hmac.compare_digest(candidate, digest):
                found = team
        if found is None:
            raise errors.AuthenticationFailedError(
                "the key is not known", "send a valid key as 'Authorization: Bearer KEY'"
            )
        return found

    def authenticate_operator(self, key: str) -> config.Operator:
        """Return the operator of a key.

        Args:
          key: Bearer key of the operator.

        Raises:
          errors.AuthenticationFailedError: When no operator has this key.
        """
        digest = config.digest_key(key)
        found = None
        for operator in self.config.operators:
            for candidate in operator.key_digests:
                if hmac.compare_digest(candidate, digest):
                    found = operator
        if found is None:
            raise errors.AuthenticationFailedError(
                "the operator key is not known", "give a valid key with --operator_key"
            )
        return found

    def model_workload(self, team: config.Team, model: str, name: str) -> config.Workload:
        """Return the workload of a model request.

        Without a name, a non-idempotent workload of the team and model is preferred.

        Args:
          team: The team.
          model: Name of the model.
          name: Name of the workload given by the caller, or the empty string.

        Raises:
          errors.PermissionDeniedError: When the team has no workload of this name for the model.
        """
        matching = [
            workload
            for workload in self.config.workloads
            if model in workload.models and _applies_to(workload, team)
        ]
        if name:
            return _find_workload(matching, name)
        if not matching:
            return config.Workload(name="default", idempotent=True, models=(model,))
        return min(matching, key=lambda workload: workload.idempotent)

    def service_workload(
        self, team: config.Team, service: str, method: str, path: str
    ) -> config.Workload:
        """Return the workload of a service request.

        The longest path prefix wins. Requests that match no workload are non-idempotent.

        Args:
          team: The team.
          service: Name of the service.
          method: HTTP method.
          path: Path within the service, with a leading slash.
        """
        matching = [
            workload
            for workload in self.config.workloads
            if service in workload.services
            and _applies_to(workload, team)
            and (not workload.methods or method in workload.methods)
            and path.startswith(workload.path_prefix)
        ]
        if not matching:
            return config.Workload(name="unmatched", idempotent=False, services=(service,))
        return max(matching, key=lambda item: (len(item.path_prefix), not item.idempotent))


def build(version: int, document: config.Config) -> Snapshot:
    """Return the snapshot of a configuration.

    Args:
      version: Version of the configuration head.
      document: The validated configuration.
    """
    teams: dict[str, tuple[tuple[str, config.Team], ...]] = {}
    for team in document.teams:
        for digest in team.key_digests:
            bucket = digest[:KEY_BUCKET_DIGITS]
            teams[bucket] = (*teams.get(bucket, ()), (digest, team))
    return Snapshot(
        version=version,
        config=document,
        preset=next(item for item in document.presets if item.name == document.preset),
        teams=teams,
        models={model.name: model for model in document.models},
        endpoints={endpoint.name: endpoint for endpoint in document.endpoints},
    )


def _applies_to(workload: config.Workload, team: config.Team) -> bool:
    return not workload.teams or team.name in workload.teams


def _find_workload(matching: list[config.Workload], name: str) -> config.Workload:
    for workload in matching:
        if workload.name == name:
            return workload
    known = ", ".join(workload.name for workload in matching) or "none"
    raise errors.PermissionDeniedError(
        f"the team has no workload {name!r} for this model", f"name one of: {known}"
    )
