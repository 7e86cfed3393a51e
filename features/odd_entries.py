"""Odd entries of endpoints, as another writer may leave them in the store."""

import json

from features import gateway_support

MARK = '"odd"'


def sound_entry(identity: str, **changes) -> dict:
    """Return a sound entry of an endpoint.

    Args:
      identity: Its identity, which begins with the name of its service.
      **changes: Fields that differ.
    """
    return {
        "service": identity.partition("-")[0],
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "models": [],
        "sequence": 1,
        "born": 1000,
    } | changes


def odd_entry(**changes) -> bytes:
    """Return an entry whose values differ from those of a sound one.

    Args:
      **changes: Fields that differ; a value of bytes is inserted into the JSON text.
    """
    texts = {name: value for name, value in changes.items() if isinstance(value, bytes)}
    values = changes | dict.fromkeys(texts, "odd")
    data = json.dumps(sound_entry("lm-odd", **values)).encode()
    for text in texts.values():
        data = data.replace(MARK.encode(), text, 1)
    return data


def nested(depth: int) -> bytes:
    """Return the text of empty lists within each other."""
    return b"[" * depth + b"]" * depth


def weights_entry(name: str, version: int) -> bytes:
    """Return an entry of an endpoint with weights of one model."""
    return odd_entry(models=[{"name": name, "version": version, "adapters": []}])


# Key and value of each odd entry.
ODD_ENTRIES = {
    "with slots of 400 digits": ("lm-odd", odd_entry(slots=10**400)),
    "with slots of 5000 digits": ("lm-odd", odd_entry(slots=b"9" * 5000)),
    "with slots 1e400": ("lm-odd", odd_entry(slots=b"1e400")),
    "with a start of 400 digits": ("lm-odd", odd_entry(born=10**400)),
    "with a heartbeat of 400 digits": ("lm-odd", odd_entry(sequence=10**400)),
    "with weights of 400 digits": ("lm-odd", weights_entry(gateway_support.MODEL, 10**400)),
    "nested in 900 lists": ("lm-odd", odd_entry(cold_left_ms=nested(900))),
    "nested in 100000 lists": ("lm-odd", odd_entry(cold_left_ms=nested(100_000))),
    "with port 70000": ("lm-odd", odd_entry(address="10.0.0.9:70000")),
    "with port 0": ("lm-odd", odd_entry(address="10.0.0.9:0")),
    "with a port with a superscript digit": ("lm-odd", odd_entry(address="10.0.0.9:8\u00b2")),
    "with a port of 5000 digits": ("lm-odd", odd_entry(address="10.0.0.9:" + "9" * 5000)),
    "with a port with a leading zero": ("lm-odd", odd_entry(address="10.0.0.9:080")),
    "with a lone surrogate in its key": ("lm-\ud800", odd_entry()),
    "with a lone surrogate in its service": ("lm-odd", odd_entry(service="\ud800")),
    "with a lone surrogate in its data centre": ("lm-odd", odd_entry(zone="\ud800")),
    "with a lone surrogate in a model's name": ("lm-odd", weights_entry("\ud800", 1)),
    "with a data centre of a megabyte": ("lm-odd", odd_entry(zone="z" * 1_000_000)),
    "with a state of a megabyte": ("lm-odd", odd_entry(state="z" * 1_000_000)),
    "with an unforeseen fault": ("lm-odd", odd_entry()),
    "at the address 0.0.0.0": ("lm-odd", odd_entry(address="0.0.0.0:80")),
    "at a multicast address": ("lm-odd", odd_entry(address="224.0.0.9:80")),
    "at the broadcast address": ("lm-odd", odd_entry(address="255.255.255.255:80")),
}
