"""Checks of a configuration of the gateway: entries that never match, and contradictory limits.

Works on decoded entries, so that it knows nothing of their format.
"""

from collections.abc import Iterator, Sequence

from bronzemux import findings, records
from bronzemux.gateway import model


@records.record
class Entries:
    """Entries of a configuration in their order, each with its place in the document.

    Attributes:
      routes: Routes.
      services: Services.
      teams: Teams.
      limits: Limits of what callers send, None when they could not be decoded.
    """

    routes: Sequence[tuple[str, model.Route]]
    services: Sequence[tuple[str, model.Service]]
    teams: Sequence[tuple[str, model.Team]]
    limits: model.CallerLimits | None


def check(entries: Entries) -> Iterator[findings.Finding]:
    """Yield the findings in a configuration whose entries could be decoded."""
    yield from _check_routes(entries)
    yield from _check_services(entries)
    yield from _check_teams(entries)
    if entries.limits is not None:
        yield from _check_limits(entries.limits)


def _check_routes(entries: Entries) -> Iterator[findings.Finding]:
    services = {service.name: service for _, service in entries.services}
    first_places: dict[tuple[str, str], str] = {}
    for place, route in entries.routes:
        first_place = first_places.setdefault((route.host, route.prefix), place)
        if first_place != place:
            yield findings.warning(
                place,
                f"{first_place} has the same host and prefix, so that this route never matches",
                "remove one of them",
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield findings.warning(
                place,
                f"prefix {route.prefix!r} does not begin and end with a slash",
                "add the slashes",
            )
        yield from _check_shares(place, route, services)
        yield from _check_times(place, route)
        if route.max_attempts > 1 and not route.is_idempotent:
            yield findings.warning(
                place,
                f"{route.max_attempts} attempts never happen, as its requests may run once only",
                "allow one attempt",
            )
        if route.is_resumable and route.kind is not model.RouteKind.STREAM:
            yield findings.warning(
                place, "only streams are resumed", "remove the flag or make it a stream"
            )


def _check_shares(place: str, route: model.Route, services) -> Iterator[findings.Finding]:
    for share in route.shares:
        if share.service not in services:
            yield findings.Finding(
                findings.Severity.ERROR,
                place,
                f"service {share.service!r} is not in the configuration",
                "add the service or correct the name",
            )
        elif services[share.service].cache_store:
            yield findings.Finding(
                findings.Severity.ERROR,
                place,
                f"{share.service!r} is a cache store, which serves no requests",
                "name another service",
            )
        if not share.weight:
            yield findings.warning(
                place,
                f"service {share.service!r} has weight 0 and gets no request",
                "remove the share or give it a weight",
            )
    if not any(share.weight for share in route.shares):
        yield findings.Finding(
            findings.Severity.ERROR, place, "no share has a weight", "give one a weight"
        )


def _check_times(place: str, route: model.Route) -> Iterator[findings.Finding]:
    if not route.timeout_seconds:
        yield findings.Finding(
            findings.Severity.ERROR, place, "its requests time out at once", "allow some time"
        )
    elif route.objective_seconds > route.timeout_seconds:
        yield findings.warning(
            place,
            f"the objective of {route.objective_seconds:g} s is later than the timeout of"
            f" {route.timeout_seconds:g} s",
            "raise the timeout or lower the objective",
        )


def _check_services(entries: Entries) -> Iterator[findings.Finding]:
    routed = {share.service for _, route in entries.routes for share in route.shares}
    names: dict[str, str] = {}
    for place, service in entries.services:
        first_place = names.setdefault(service.name, place)
        if first_place != place:
            yield findings.Finding(
                findings.Severity.ERROR,
                place,
                f"{first_place} has the same name, and is replaced by this one",
                "rename one of them",
            )
        if service.name not in routed and not service.cache_store:
            yield findings.warning(
                place, f"no route leads to {service.name!r}", "add a route or remove the service"
            )
        engine = service.engine
        if engine is not None and engine.cache_tokens < engine.slots:
            yield findings.warning(
                place,
                f"{engine.slots} slots do not fit into a memory of {engine.cache_tokens} tokens",
                "correct one of them",
            )


def _check_teams(entries: Entries) -> Iterator[findings.Finding]:
    owners: dict[bytes, str] = {}
    names: dict[str, str] = {}
    for place, team in entries.teams:
        if names.setdefault(team.name, place) != place:
            yield findings.warning(
                place, f"{names[team.name]} has the same name", "merge the two or rename one"
            )
        if not team.key_digests:
            yield findings.warning(
                place, "no request can belong to it, as it has no valid key", "add a key"
            )
        for digest in team.key_digests:
            if owners.setdefault(digest, place) != place:
                yield findings.Finding(
                    findings.Severity.ERROR,
                    place,
                    f"one of its keys is also in {owners[digest]}, and counts for this team only",
                    "give each team keys of its own",
                )
    if not entries.teams:
        return
    for place, route in entries.routes:
        if not owners and not route.is_anonymous:
            yield findings.warning(
                place, "no team has a key, so that its requests are refused", "add a key"
            )


def _check_limits(limits: model.CallerLimits) -> Iterator[findings.Finding]:
    for name, value in (
        ("head", limits.max_head_bytes),
        ("head timeout", limits.head_timeout_seconds),
        ("idle timeout", limits.idle_timeout_seconds),
    ):
        if not value:
            yield findings.Finding(
                findings.Severity.ERROR,
                "limits",
                f"the limit of the {name} is 0, so that no request is accepted",
                "raise it",
            )
    if not limits.max_body_bytes:
        yield findings.warning(
            "limits", "no request may have a body", "raise the limit of bodies if some need one"
        )
