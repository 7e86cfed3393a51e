"""Check of a configuration document of the platform before it is sent."""

from collections.abc import Callable, Iterator

from bronzemux import findings
from bronzemux.gateway import config_check
from bronzemux.platform import documents, fields


def check(data: bytes) -> list[findings.Finding]:
    """Return all findings in a configuration document.

    Each entry is decoded by itself, so that one error does not hide those in other entries.

    Args:
      data: The JSON document, as the operator writes it to the store.
    """
    try:
        document = fields.load(data)
    except fields.DocumentError as error:
        return [_error(findings.WHOLE_DOCUMENT, error)]
    found: list[findings.Finding] = []
    limits = _decoded(
        "limits",
        document.get("limits") or {},
        lambda value: documents.decode_limits(fields.table(value, "limits")),
        found,
    )
    entries = config_check.Entries(
        routes=list(_entries(document, "routes", documents.decode_route, found, None)),
        services=list(_entries(document, "services", documents.decode_service, found, None)),
        teams=list(_entries(document, "tenants", documents.decode_team, found, [])),
        limits=limits,
    )
    if not found:
        # Errors outside the entries, such as a missing version.
        _decoded(findings.WHOLE_DOCUMENT, data, documents.decode_configuration, found)
    return [*found, *config_check.check(entries)]


def changes(data: bytes, in_force: bytes) -> list[str]:
    """Return one line for each difference of a document from the one in force.

    Raises:
      fields.DocumentError: When one of the two is not a JSON object.
    """
    return list(findings.changes(fields.load(in_force), fields.load(data)))


def _entries(document: dict, name: str, decode: Callable, found: list, default) -> Iterator:
    """Yield the place and the decoded value of each entry of a list; append errors to a list."""
    items = _decoded(name, document, lambda item: fields.items(item, name, default), found)
    for position, item in enumerate(items or []):
        place = f"{name}[{position}]"
        entry = _decoded(place, item, lambda value: decode(fields.table(value, "entry")), found)
        if entry is not None:
            yield place, entry


def _decoded(place: str, value, decode: Callable, found: list):
    """Return a decoded value, None after appending the finding when it is malformed."""
    try:
        return decode(value)
    except fields.DocumentError as error:
        found.append(_error(place, error))
        return None


def _error(place: str, error: fields.DocumentError) -> findings.Finding:
    return findings.Finding(findings.Severity.ERROR, place, error.message, error.remedy)
