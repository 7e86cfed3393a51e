"""Validated access to the fields of JSON documents written by other programs."""

import ipaddress
import json
import reprlib

from bronzemux import decimal_digits, errors

# Versions, counters and times in milliseconds fit into signed 64-bit integers.
MAX_INTEGER = 2**63 - 1
# Names, hosts and path prefixes become keys of tables and labels.
MAX_IDENTIFIER_LENGTH = 4096
BROADCAST_ADDRESS = ipaddress.IPv4Address("255.255.255.255")


class DocumentError(errors.BronzemuxError):
    """A JSON document lacks a required field, or a field has an invalid value."""


def load(data: bytes) -> dict:
    """Parse a JSON object.

    Raises:
      DocumentError: When the bytes are not a JSON object.
    """
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(
            f"the document is not valid JSON: {error}", "correct the writer"
        ) from error
    return table(document, "document")


def table(value, name: str) -> dict:
    """Return a value that must be a JSON object."""
    return _typed(value, dict, name)


def text(document: dict, name: str, default: str | None = None) -> str:
    """Return a text field; it is required unless a default is given."""
    value = _typed(_value(document, name, default), str, name)
    if not is_encodable(value):
        raise DocumentError(
            f"{name} {reprlib.repr(value)} is not encodable as UTF-8", "use valid Unicode"
        )
    return value


def is_encodable(value: str) -> bool:
    """Return whether a text can be encoded as UTF-8; JSON may contain lone surrogates."""
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def identifier(document: dict, name: str, default: str | None = None) -> str:
    """Return a text field of bounded length; it is required unless a default is given."""
    value = text(document, name, default)
    if len(value) > MAX_IDENTIFIER_LENGTH:
        raise DocumentError(
            f"{name} has {len(value)} characters", f"use at most {MAX_IDENTIFIER_LENGTH}"
        )
    return value


def integer(
    document: dict, name: str, default: int | None = None, maximum: int = MAX_INTEGER
) -> int:
    """Return an integer field from 0 to a maximum; it is required unless a default is given."""
    value = _typed(_value(document, name, default), int, name)
    if not 0 <= value <= maximum:
        raise DocumentError(f"{name} is {reprlib.repr(value)}", f"use a number from 0 to {maximum}")
    return value


def number(document: dict, name: str, default: float | None = None) -> float:
    """Return a numeric field of at least 0; it is required unless a default is given."""
    value = _value(document, name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e15:
        raise DocumentError(f"{name} is {reprlib.repr(value)}", "use a number of at least 0")
    return float(value)


def flag(document: dict, name: str, default: bool | None = None) -> bool:
    """Return a boolean field; it is required unless a default is given."""
    value = _value(document, name, default)
    if not isinstance(value, bool):
        raise DocumentError(f"{name} is {reprlib.repr(value)}", "use true or false")
    return value


def items(document: dict, name: str, default: list | None = None) -> list:
    """Return a list field; it is required unless a default is given."""
    return _typed(_value(document, name, default), list, name)


def address(document: dict, name: str) -> str:
    """Return a required field that holds an IP address and a port."""
    value = text(document, name)
    split_address(value)
    return value


def unicast_address(document: dict, name: str) -> str:
    """Return a required field that holds an address to which a connection can be opened."""
    value = text(document, name)
    host, _ = split_address(value)
    found = ipaddress.IPv4Address(host)
    # A connection to the unspecified address would reach this VM.
    if found.is_unspecified or found.is_multicast or found == BROADCAST_ADDRESS:
        raise DocumentError(f"{name} {value} is no unicast address", "use the address of one VM")
    return value


def split_address(value: str) -> tuple[str, int]:
    """Split an address into its IPv4 address and its port.

    Raises:
      DocumentError: When the address is malformed.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise DocumentError(
            f"address {reprlib.repr(value)} is not an IPv4 address and port", "use IP:PORT"
        ) from error
    number_of_port = decimal_digits.parse_port(port)
    if number_of_port is None:
        raise DocumentError(f"address {reprlib.repr(value)} has no valid port", "use IP:PORT")
    return host, number_of_port


def _value(document: dict, name: str, default):
    value = document.get(name, default)
    if value is None:
        raise DocumentError(f"{name} is missing", "add it")
    return value


def _typed(value, expected_type: type, name: str):
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise DocumentError(
            f"{name} is of type {type(value).__name__}", f"use {expected_type.__name__}"
        )
    return value
