"""Findings of checks of a configuration before it is sent, and its changes against another one."""

import enum
from collections.abc import Iterator

from bronzemux import records

# Place of the document itself, in the paths of findings and changes.
WHOLE_DOCUMENT = "document"


class Severity(enum.Enum):
    """Whether a document can be used in spite of a finding."""

    ERROR = "error"
    WARNING = "warning"


@records.record
class Finding:
    """One finding in a configuration document.

    Attributes:
      severity: Whether the document can be used in spite of it.
      place: Path in the document, such as ``routes[2].split``.
      message: What is wrong there.
      remedy: What to do about it.
    """

    severity: Severity
    place: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.severity.value}: {self.place}: {self.message}; {self.remedy}"


def warning(place: str, message: str, remedy: str) -> Finding:
    """Return a finding about an entry that can be used but does not do what it seems to."""
    return Finding(Severity.WARNING, place, message, remedy)


def changes(old, new, place: str = "") -> Iterator[str]:
    """Yield one line for each difference between two documents of plain values.

    Items of a list that have names are compared by name, so that their order does not count. Texts
    in lists, which may be keys, are counted but not shown.

    Args:
      old: Document in force.
      new: Document to be sent.
      place: Path of the two in their documents, empty for the whole.
    """
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            path = f"{place}.{name}" if place else str(name)
            if name not in old:
                yield f"added: {path}{_value_text(new[name])}"
            elif name not in new:
                yield f"removed: {path}{_value_text(old[name])}"
            else:
                yield from changes(old[name], new[name], path)
    elif isinstance(old, list) and isinstance(new, list):
        yield from _list_changes(old, new, place)
    else:
        yield f"changed: {place or WHOLE_DOCUMENT}{_value_text(old)} to{_value_text(new)}"


def _list_changes(old: list, new: list, place: str) -> Iterator[str]:
    old_by_name, new_by_name = _by_name(old), _by_name(new)
    if old_by_name is not None and new_by_name is not None:
        for name in sorted(old_by_name.keys() | new_by_name.keys()):
            path = f"{place}[{name}]"
            if name not in old_by_name:
                yield f"added: {path}"
            elif name not in new_by_name:
                yield f"removed: {path}"
            else:
                yield from changes(old_by_name[name], new_by_name[name], path)
        return
    added = sum(item not in old for item in new)
    removed = sum(item not in new for item in old)
    what = f"{added} added, {removed} removed" if added or removed else "other order"
    yield f"changed: {place}: {what}"


def _by_name(items: list) -> dict | None:
    """Return the items by their names, None unless all have different ones."""
    names = [item.get("name") if isinstance(item, dict) else None for item in items]
    if not all(isinstance(name, str) for name in names) or len(set(names)) < len(names):
        return None
    return dict(zip(names, items, strict=True))


def _value_text(value) -> str:
    """Return a number or a flag as text; other values may be long or secret, and are left out."""
    return f" {value}" if isinstance(value, bool | int | float) else ""
