"""Answers of models: usage, text so far, whole answers from parts."""

import dataclasses
import json
from collections.abc import Iterable, Mapping

from bronzemux import engine, errors, prompt

USAGE_MARK = b'"usage"'
NO_USAGE_MARKS = (b'"usage":null', b'"usage": null')


@dataclasses.dataclass(frozen=True)
class Usage:
    """Tokens of an answer as the engine counts them.

    Attributes:
      prompt_tokens: Tokens of the prompt.
      cached_tokens: Those found in the engine's cache.
      generated_tokens: Tokens of the answer.
      imported_tokens: Prompt tokens imported from the KV cache store.
      exported_pieces: Leading pieces exported to it.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    imported_tokens: int = 0
    exported_pieces: int = 0


def decode_usage(data: bytes) -> Usage | None:
    """Return the usage that a part carries, None when it carries none."""
    if USAGE_MARK not in data or any(mark in data for mark in NO_USAGE_MARKS):
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
    """Return a count, 0 when it is left out or null."""
    value = fields.get(name) or 0
    if type(value) is not int or value < 0:
        raise _malformed(f"{name}, not a count,", value)
    return value


def is_only_usage(data: bytes) -> bool:
    """Return whether a part carries usage and no text."""
    return USAGE_MARK in data and decode(data).get("choices") == []


def decode(data: bytes) -> dict:
    """Return the JSON object of a part.

    Raises:
      errors.EndpointProtocolError: When it is not one.
    """
    try:
        value = json.loads(data)
    except ValueError as error:
        raise errors.EndpointProtocolError(
            f"a part of the answer is not JSON: {error}", "check the engine's version"
        ) from error
    if not isinstance(value, dict):
        raise errors.EndpointProtocolError(
            "a part of the answer is not an object", "check the engine's version"
        )
    return value


def decode_text(data: bytes) -> str:
    """Return the text that a part adds to the first choice."""
    return "" if data == engine.DONE else _chunk_text(decode(data))


def joined_text(parts: Iterable[bytes]) -> str:
    """Return the text of an answer from its parts."""
    return "".join(decode_text(data) for data in parts)


def relabel(data: bytes, first: Mapping) -> bytes:
    """Return a part of a continued answer with the identity of the first part."""
    if data == engine.DONE:
        return data
    chunk = decode(data)
    for field in ("id", "created", "model"):
        if field in first:
            chunk[field] = first[field]
    return json.dumps(chunk, ensure_ascii=False).encode()


def assemble(path: str, parts: Iterable[bytes]) -> dict:
    """Return the whole answer in the form of a request that is not streamed.

    Args:
      path: `prompt.CHAT_PATH` or `prompt.TEXT_PATH`.
      parts: Payloads of all parts.
    """
    chunks = [decode(data) for data in parts if data != engine.DONE]
    if not chunks:
        raise errors.EndpointProtocolError("the answer has no parts", "check the engine's version")
    text = "".join(_chunk_text(chunk) for chunk in chunks)
    choice = {"index": 0, "finish_reason": _finish_reason(chunks), "logprobs": None}
    if path == prompt.CHAT_PATH:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if path == prompt.CHAT_PATH else "text_completion"
    head = {key: chunks[0].get(key) for key in ("id", "created", "model")}
    usage = next((chunk["usage"] for chunk in reversed(chunks) if chunk.get("usage")), None)
    return head | {"object": kind, "choices": [choice], "usage": usage}


def _chunk_text(chunk: Mapping) -> str:
    choices = _choices(chunk)
    if not choices:
        return ""
    delta = choices[0].get("delta")
    has_delta = isinstance(delta, Mapping)
    text = (delta.get("content") if has_delta else choices[0].get("text")) or ""
    if not isinstance(text, str):
        raise _malformed("a choice's text", text)
    return text


def _choices(chunk: Mapping) -> list[Mapping]:
    """Return the choices of a part."""
    choices = chunk.get("choices") or []
    if not isinstance(choices, list) or not all(isinstance(item, Mapping) for item in choices):
        raise _malformed("the choices", choices)
    return choices


def _malformed(what: str, value) -> errors.EndpointProtocolError:
    return errors.EndpointProtocolError(
        f"{what} of an answer's part is of type {type(value).__name__}",
        "check the engine's version",
    )


def _finish_reason(chunks) -> str | None:
    for chunk in reversed(chunks):
        for choice in _choices(chunk):
            if choice.get("finish_reason"):
                return choice["finish_reason"]
    return None
