"""Decoding of the parts of a model's response, and their assembly into one response."""

import dataclasses
import json
from collections.abc import Iterable, Mapping

from bronzemux import engine, errors, prompt

USAGE_FIELD = b'"usage"'
NULL_USAGE_FIELDS = (b'"usage":null', b'"usage": null')


@dataclasses.dataclass(frozen=True)
class Usage:
    """Token usage of a response as the engine reports it.

    Attributes:
      prompt_tokens: Number of prompt tokens.
      cached_tokens: Number of prompt tokens found in the engine's cache.
      generated_tokens: Number of generated tokens.
      imported_tokens: Number of prompt tokens imported from the KV cache store.
      exported_pieces: Number of leading pieces exported to the KV cache store.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    imported_tokens: int = 0
    exported_pieces: int = 0


def decode_usage(data: bytes) -> Usage | None:
    """Return the usage in a part, None when the part has none.

    Args:
      data: Payload of the part.

    Raises:
      errors.EndpointProtocolError: When the part or a count in it is malformed.
    """
    if USAGE_FIELD not in data or any(null_field in data for null_field in NULL_USAGE_FIELDS):
        return None
    usage = decode(data).get("usage")
    if not isinstance(usage, Mapping):
        return None
    details = usage.get("prompt_tokens_details")
    if not isinstance(details, Mapping):
        details = {}
    return Usage(
        _count(usage, "prompt_tokens"),
        _count(details, "cached_tokens"),
        _count(usage, "completion_tokens"),
        _count(details, "imported_tokens"),
        _count(details, "exported_pieces"),
    )


def _count(fields: Mapping, name: str) -> int:
    """Return a count, 0 when the field is missing or null."""
    value = fields.get(name) or 0
    if type(value) is not int or value < 0:
        raise _malformed_part_error(f"{name} is not a non-negative integer", value)
    return value


def is_only_usage(data: bytes) -> bool:
    """Return whether a part contains usage and no choices."""
    return USAGE_FIELD in data and decode(data).get("choices") == []


def decode(data: bytes) -> dict:
    """Decode the JSON object of a part.

    Raises:
      errors.EndpointProtocolError: When the part is not a JSON object.
    """
    try:
        value = json.loads(data)
    except ValueError as error:
        raise errors.EndpointProtocolError(
            f"a part of the response is not valid JSON: {error}", "check the engine's version"
        ) from error
    if not isinstance(value, dict):
        raise errors.EndpointProtocolError(
            "a part of the response is not a JSON object", "check the engine's version"
        )
    return value


def decode_text(data: bytes) -> str:
    """Return the text that a part appends to the first choice."""
    return "" if data == engine.DONE else _chunk_text(decode(data))


def joined_text(parts: Iterable[bytes]) -> str:
    """Return the text of the first choice of a response.

    Args:
      parts: Payloads of the parts.
    """
    return "".join(decode_text(data) for data in parts)


def relabel(data: bytes, first: Mapping) -> bytes:
    """Return a part of a continued response with the `id`, `created` and `model` of the first part.

    Args:
      data: Payload of the part.
      first: JSON object of the first part of the response.
    """
    if data == engine.DONE:
        return data
    chunk = decode(data)
    for field in ("id", "created", "model"):
        if field in first:
            chunk[field] = first[field]
    return json.dumps(chunk, ensure_ascii=False).encode()


def assemble(path: str, parts: Iterable[bytes]) -> dict:
    """Assemble the parts of a stream into the response of a request without streaming.

    Args:
      path: `prompt.CHAT_PATH` or `prompt.TEXT_PATH`.
      parts: Payloads of all parts.

    Raises:
      errors.EndpointProtocolError: When there are no parts or a part is malformed.
    """
    chunks = [decode(data) for data in parts if data != engine.DONE]
    if not chunks:
        raise errors.EndpointProtocolError(
            "the response has no parts", "check the engine's version"
        )
    text = "".join(_chunk_text(chunk) for chunk in chunks)
    choice = {"index": 0, "finish_reason": _finish_reason(chunks), "logprobs": None}
    if path == prompt.CHAT_PATH:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    object_type = "chat.completion" if path == prompt.CHAT_PATH else "text_completion"
    identity = {key: chunks[0].get(key) for key in ("id", "created", "model")}
    usage = next((chunk["usage"] for chunk in reversed(chunks) if chunk.get("usage")), None)
    return identity | {"object": object_type, "choices": [choice], "usage": usage}


def _chunk_text(chunk: Mapping) -> str:
    choices = _choices(chunk)
    if not choices:
        return ""
    delta = choices[0].get("delta")
    has_delta = isinstance(delta, Mapping)
    text = (delta.get("content") if has_delta else choices[0].get("text")) or ""
    if not isinstance(text, str):
        raise _malformed_part_error("the text of a choice is not a string", text)
    return text


def _choices(chunk: Mapping) -> list[Mapping]:
    """Return the choices of a part, empty when the field is missing or null."""
    choices = chunk.get("choices") or []
    if not isinstance(choices, list) or not all(isinstance(item, Mapping) for item in choices):
        raise _malformed_part_error("the choices are not a list of objects", choices)
    return choices


def _malformed_part_error(problem: str, value) -> errors.EndpointProtocolError:
    return errors.EndpointProtocolError(
        f"a part of the response is malformed: {problem} (type {type(value).__name__})",
        "check the engine's version",
    )


def _finish_reason(chunks) -> str | None:
    for chunk in reversed(chunks):
        for choice in _choices(chunk):
            if choice.get("finish_reason"):
                return choice["finish_reason"]
    return None
