"""Strict checks of decoded CBOR and JSON that other programs wrote.

Each check raises `ValueError` or `TypeError` with a short message; decoders turn these into their own
typed errors. The messages never contain a whole value, which may be large or not printable.
"""

import ipaddress
import json
import reprlib

import cbor2

from bronzemux import decimal_digits

# Versions, counters and times in milliseconds fit into signed 64-bit integers.
MAX_INTEGER = 2**63 - 1
MAX_NUMBER = 1e15
# Names become keys of tables, labels and parts of log lines.
MAX_NAME_LENGTH = 4096
MAX_CAUSE_LENGTH = 200
CHECK_ERRORS = (ValueError, TypeError)


def load_cbor(content: bytes):
    """Return the decoded value.

    Raises:
      ValueError: When the content is not one valid item of CBOR.
    """
    try:
        return cbor2.loads(content)
    except Exception as error:  # noqa: BLE001 - the decoders of tags raise many types
        raise ValueError(f"it is not CBOR: {cause(error)}") from error


def load_json(content: bytes):
    """Return the decoded value.

    Raises:
      ValueError: When the content is not valid JSON, or is nested too deeply.
    """
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        raise ValueError(f"it is not JSON: {cause(error)}") from error


def cause(error: Exception) -> str:
    """Return the message of an error, of bounded length."""
    return f"{error!s:.{MAX_CAUSE_LENGTH}}"


def shown(value) -> str:
    """Return a short description of a value; `repr` rejects integers of more than 4300 digits."""
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return f"an integer of {value.bit_length()} bits"
    return reprlib.repr(value)


def typed(value, kind: type):
    """Return a value that must have exactly a type."""
    if type(value) is not kind:
        raise TypeError(f"got {type(value).__name__}, expected {kind.__name__}")
    return value


def items(value, count: int | None = None) -> list:
    """Return a value that must be a list.

    Args:
      value: The value.
      count: Length that it must have, None for any.
    """
    if count is not None and len(typed(value, list)) != count:
        raise ValueError(f"got {len(value)} values, expected {count}")
    return typed(value, list)


def integer(value, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Return a value that must be an integer in a range."""
    if not minimum <= typed(value, int) <= maximum:
        raise ValueError(f"got {shown(value)}, expected an integer from {minimum} to {maximum}")
    return value


def number(value, maximum: float = MAX_NUMBER) -> float:
    """Return a value that must be a number from 0 to a maximum, as a float."""
    if type(value) not in (int, float) or not 0 <= value <= maximum:
        raise ValueError(f"got {shown(value)}, expected a number from 0 to {maximum:g}")
    return float(value)


def name(value) -> str:
    """Return a value that must be a text of bounded length that UTF-8 can encode."""
    if len(typed(value, str)) > MAX_NAME_LENGTH:
        raise ValueError(f"got {len(value)} characters, expected at most {MAX_NAME_LENGTH}")
    return text(value)


def text(value) -> str:
    """Return a value that must be a text that UTF-8 can encode; JSON may hold lone surrogates."""
    if not typed(value, str).isascii():
        value.encode()
    return value


def address(value) -> str:
    """Return a value that must be an IP address and a port."""
    host, _, port = name(value).rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if decimal_digits.parse_port(port) is None:
        raise ValueError(f"got {shown(value)}, expected an IP address and a port")
    return value
