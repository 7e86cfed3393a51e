"""Odd CBOR, as another writer may leave it: built for examples, and generated from samples."""

import cbor2
from hypothesis import strategies as st

from features import odd_values

HUGE_INTEGERS = (10**300, -(10**300), 10**5000)
TAGGED = (
    cbor2.CBORTag(0, "no date"),
    cbor2.CBORTag(4, [10**30, 1]),
    cbor2.CBORTag(30, [1, 0]),
    cbor2.CBORTag(258, [1]),
    cbor2.CBORTag(9999, ["unknown"]),
)
NESTED = tuple(b"\x81" * depth + b"\x80" for depth in (900, 100_000))
# A list that contains itself.
CYCLE = b"\xd8\x1c\x81\xd8\x1d\x00"


class Encoded:
    """Part of a document that is encoded already.

    Args:
      content: Its encoding.
    """

    def __init__(self, content: bytes):
        self.content = content


def encode(document) -> bytes:
    """Return the encoding of a document, which may have a part that is `Encoded`."""
    parts: list[bytes] = []
    mark = b"encoded part"

    def default(encoder, value) -> None:
        parts.append(value.content)
        encoder.encode(mark)

    content = cbor2.dumps(document, default=default)
    for part in parts:
        content = content.replace(cbor2.dumps(mark), part, 1)
    return content


# Bytes that are no document.
ODD_BYTES = st.binary(max_size=60) | st.sampled_from((*NESTED, CYCLE))


def changed(sample) -> st.SearchStrategy[bytes]:
    """Return a strategy for encoded copies of a document with odd values.

    Args:
      sample: A valid document.
    """
    odd_items = (*HUGE_INTEGERS, *TAGGED)
    # Hypothesis hashes what it samples, which tags do not support.
    odd = st.integers(0, len(odd_items) - 1).map(odd_items.__getitem__)
    replaced = st.tuples(st.sampled_from(odd_values.paths(sample)), odd).map(
        lambda pair: odd_values.replaced(sample, *pair)
    )
    documents = replaced | odd_values.changed(sample).map(odd_values.encodable)
    return documents.map(cbor2.dumps)
