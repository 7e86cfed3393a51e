"""Strict decoding of documents into data classes; each error has the path of its field."""

import functools
from collections.abc import Iterator

import cattrs

from bronzemux import errors


@functools.cache
def converter() -> cattrs.Converter:
    """Return the converter, which rejects unknown keys and values of the wrong type."""
    result = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind, label in ((str, "a string"), (int, "a whole number"), (bool, "true or false")):
        result.register_structure_hook(kind, functools.partial(_strict, label))
    result.register_structure_hook(float, _strict_float)
    result.register_structure_hook_func(lambda kind: kind == tuple[str, ...], _string_tuple)
    return result


def _strict(label: str, value, kind):
    if type(value) is not kind:
        raise TypeError(f"found {value!r}, expected {label}")
    return value


def _strict_float(value, _kind) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"found {value!r}, expected a number")
    return float(value)


def _string_tuple(value, _kind) -> tuple[str, ...]:
    if not isinstance(value, list) or any(type(item) is not str for item in value):
        raise TypeError(f"found {value!r}, expected a list of strings")
    return tuple(value)


def problems(error, path: str) -> Iterator[errors.ConfigProblemError]:
    """Iterate over the problems of a decoding error, each with its path.

    Args:
      error: Error of cattrs, which may group the errors of several fields.
      path: Path of the value that was decoded; empty for the whole document.
    """
    if not isinstance(error, cattrs.BaseValidationError):
        yield _single_problem(error, path)
        return
    for nested in error.exceptions:
        notes = getattr(nested, "__notes__", ())
        note = next((n for n in notes if hasattr(n, "name") or hasattr(n, "index")), None)
        yield from problems(nested, _join(path, note))


def _join(path: str, note) -> str:
    if note is None:
        return path
    if hasattr(note, "index") and not hasattr(note, "name"):
        return f"{path}[{note.index}]"
    return f"{path}.{note.name}" if path else note.name


def _single_problem(error, path: str) -> errors.ConfigProblemError:
    field = path or "document"
    if isinstance(error, KeyError):
        return errors.ConfigProblemError(field, "is missing", "add the field")
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        return errors.ConfigProblemError(field, f"unknown keys: {names}", "remove or rename them")
    return errors.ConfigProblemError(field, str(error), "use a value of the expected type")
