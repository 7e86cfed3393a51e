"""Hypothesis strategies: documents in which single values are replaced by odd ones."""

import copy
import functools
import math

from hypothesis import strategies as st

ODD_INTEGERS = (-1, 0, 1, 2**31, 2**63 - 1, 2**63, 10**30, 10**400, -(10**400))
ODD_FLOATS = (1e300, -1e300, 1e-320, math.inf, -math.inf, math.nan)
ODD_TEXTS = (
    "",
    "\x00",
    "\ud800",
    "²",
    "x" * 5000,
    "ready",
    "m1",
    "0.0.0.0:1",
    "10.0.0.1:²",
    "10.0.0.1:" + "9" * 5000,
    "255.255.255.255:80",
)
NESTED_LISTS = functools.reduce(lambda inner, _: [inner], range(100), [])
SMALL_DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)
ODD_VALUES = (
    st.sampled_from((*ODD_INTEGERS, *ODD_FLOATS, *ODD_TEXTS, None, True, [], {}, [[]], [""]))
    | st.just(NESTED_LISTS)
    | SMALL_DOCUMENTS
)


def paths(document, prefix: tuple = ()) -> list[tuple]:
    """Return the path of each value in nested lists and dictionaries, the root's first."""
    found = [prefix]
    items = document.items() if isinstance(document, dict) else ()
    items = enumerate(document) if isinstance(document, list) else items
    for key, value in items:
        found += paths(value, (*prefix, key))
    return found


def replaced(document, path: tuple, value):
    """Return a copy of a document with another value at a path that it may not have any more."""
    if not path:
        return value
    found = copy.copy(document)
    try:
        found[path[0]] = replaced(document[path[0]], path[1:], value)
    except (KeyError, IndexError, TypeError):
        return document
    return found


def changed(sample) -> st.SearchStrategy:
    """Return a strategy for copies of a document with one to three values replaced.

    Args:
      sample: A valid document.
    """
    change = st.tuples(st.sampled_from(paths(sample)), ODD_VALUES)
    return st.lists(change, min_size=1, max_size=3).map(
        lambda changes: functools.reduce(
            lambda document, pair: replaced(document, *pair), changes, sample
        )
    )


def encodable(document):
    """Return a copy of a document without lone surrogates, which CBOR cannot encode."""
    if isinstance(document, str):
        return document.encode(errors="replace").decode()
    if isinstance(document, list):
        return [encodable(item) for item in document]
    if isinstance(document, dict):
        return {encodable(key): encodable(value) for key, value in document.items()}
    return document
