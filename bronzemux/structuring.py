"""Strict decoding of documents into data classes, with a path for each mistake."""

import functools
from collections.abc import Iterator

import cattrs

from bronzemux import errors


@functools.cache
def converter() -> cattrs.Converter:
    """Return the converter that decodes documents strictly."""
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
    """Iterate over the problems of a decoding error, each with its path."""
    if not isinstance(error, cattrs.BaseValidationError):
        yield _leaf_problem(error, path)
        return
    for child in error.exceptions:
        notes = getattr(child, "__notes__", ())
        place = next((n for n in notes if hasattr(n, "name") or hasattr(n, "index")), None)
        yield from problems(child, _join(path, place))


def _join(path: str, place) -> str:
    if place is None:
        return path
    if hasattr(place, "index") and not hasattr(place, "name"):
        return f"{path}[{place.index}]"
    return f"{path}.{place.name}" if path else place.name


def _leaf_problem(error, path: str) -> errors.ConfigProblemError:
    place = path or "document"
    if isinstance(error, KeyError):
        return errors.ConfigProblemError(place, "is missing", "add it")
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        return errors.ConfigProblemError(place, f"unknown keys: {names}", "remove or rename them")
    return errors.ConfigProblemError(place, str(error), "give a value of the expected type")
