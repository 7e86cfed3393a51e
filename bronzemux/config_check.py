"""Checks of a configuration document of the product that its decoder does not make.

The decoder rejects documents that cannot be used. These checks find entries that can be used but
never match a request, and limits that contradict each other.
"""

from collections.abc import Iterator

from bronzemux import config, errors, findings


def check(text: str) -> list[findings.Finding]:
    """Return all findings in a document; warnings only where it has no errors.

    Args:
      text: The TOML document.
    """
    try:
        document = config.loads(text)
    except errors.ConfigError as error:
        return [
            findings.Finding(findings.Severity.ERROR, problem.path, problem.found, problem.remedy)
            for problem in error.exceptions
        ]
    return [finding for check_part in CHECKS for finding in check_part(document)]


def check_teams(document: config.Config) -> Iterator[findings.Finding]:
    """Find teams that no request can belong to, and their limits that never apply."""
    for position, team in enumerate(document.teams):
        place = f"teams[{position}]"
        if not team.key_digests:
            yield findings.warning(
                f"{place}.key_digests", "the team has no key", "add one or remove the team"
            )
        if not team.models and not team.services:
            yield findings.warning(
                place, "the team may use no model and no service", "allow some or remove the team"
            )
        limits = team.limits
        if limits.tokens_per_second < limits.requests_per_second:
            yield findings.warning(
                f"{place}.limits",
                f"{limits.tokens_per_second:g} tokens/s end before the limit of"
                f" {limits.requests_per_second:g} requests/s, as each has a token",
                "raise the one or lower the other",
            )


def check_targets(document: config.Config) -> Iterator[findings.Finding]:
    """Find models and services that no endpoint serves, and endpoints that serve nothing."""
    for field in ("models", "services"):
        served = {name for endpoint in document.endpoints for name in getattr(endpoint, field)}
        for position, item in enumerate(getattr(document, field)):
            if item.name not in served:
                yield findings.warning(
                    f"{field}[{position}]",
                    f"no endpoint serves {item.name!r}",
                    "add an endpoint or remove it",
                )
    for position, endpoint in enumerate(document.endpoints):
        names = endpoint.models if endpoint.kind == "model" else endpoint.services
        if not names:
            yield findings.warning(
                f"endpoints[{position}]",
                f"the endpoint of kind {endpoint.kind!r} serves nothing of that kind",
                "name what it serves or remove it",
            )


def check_workloads(document: config.Config) -> Iterator[findings.Finding]:
    """Find workloads that no team can use, and objectives beyond the deadline."""
    for position, workload in enumerate(document.workloads):
        place = f"workloads[{position}]"
        teams = [
            team for team in document.teams if not workload.teams or team.name in workload.teams
        ]
        if not any(
            set(workload.models) & set(team.models) or set(workload.services) & set(team.services)
            for team in teams
        ):
            yield findings.warning(
                place,
                "none of its teams may use one of its models or services",
                "allow it to a team or remove the workload",
            )
        if workload.path_prefix and not workload.path_prefix.startswith("/"):
            yield findings.warning(
                f"{place}.path_prefix",
                "no path begins without a slash, so that it matches no request",
                "begin it with a slash",
            )
        objective = workload.objective
        if objective.first_token_seconds >= objective.deadline_seconds:
            yield findings.warning(
                f"{place}.objective",
                f"the deadline of {objective.deadline_seconds:g} s ends before the objective of"
                f" {objective.first_token_seconds:g} s for the first token",
                "raise the one or lower the other",
            )


def check_presets(document: config.Config) -> Iterator[findings.Finding]:
    """Find presets that drain every endpoint."""
    for position, preset in enumerate(document.presets):
        left = [
            endpoint
            for endpoint in document.endpoints
            if endpoint.name not in preset.drained_endpoints
            and endpoint.data_centre not in preset.drained_data_centres
            and endpoint.name not in document.operations.drained_endpoints
        ]
        if document.endpoints and not left:
            yield findings.warning(
                f"presets[{position}]", "all endpoints are drained", "leave some in use"
            )


CHECKS = (check_teams, check_targets, check_workloads, check_presets)
