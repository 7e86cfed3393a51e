"""Conversion of a request body to the prompt bytes that are split into pieces."""

import itertools
from collections.abc import Mapping

from bronzemux import config, errors

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
# Bounds what one prompt adds to the evidence of a crash; far above the messages of a long chat.
MAX_PREFIXES = 2048


def render(path: str, body: Mapping) -> bytes:
    """Return the prompt of a request in UTF-8.

    Args:
      path: `CHAT_PATH` or `TEXT_PATH`.
      body: Decoded JSON body.

    Raises:
      errors.InvalidRequestError: When the prompt is missing or has an unsupported form.
    """
    text = _chat(body.get("messages")) if path == CHAT_PATH else _text(body.get("prompt"))
    try:
        return text.encode()
    except UnicodeEncodeError as error:
        raise errors.InvalidRequestError(
            f"the prompt contains a character that UTF-8 cannot encode: {error.reason}",
            "send Unicode text without lone surrogates",
        ) from error


def prefix_lengths(path: str, body: Mapping, piece_bytes: int) -> list[int]:
    """Return the lengths of the beginnings of a prompt that other prompts are likely to share.

    They end after each message, and after each piece. Of more than `MAX_PREFIXES`, the shortest are
    returned, and those that end after a message before the others: prompts differ from a message on.

    Args:
      path: `CHAT_PATH` or `TEXT_PATH`.
      body: Decoded JSON body, from which `render` makes a prompt.
      piece_bytes: Size of a piece in bytes.

    Returns:
      Ascending numbers of bytes.
    """
    if path == CHAT_PATH:
        messages = enumerate(body["messages"])
        texts = [_message(position, message) for position, message in messages]
    else:
        texts = [_text(body["prompt"])]
    ends = list(itertools.accumulate(len(text.encode()) for text in texts))
    pieces = range(piece_bytes, ends[-1] + 1, piece_bytes)
    found = dict.fromkeys([*ends[:MAX_PREFIXES], *pieces])
    return sorted(itertools.islice(found, MAX_PREFIXES))


def token_estimate(prompt: bytes) -> int:
    """Return the estimated number of tokens of a prompt."""
    return max(1, len(prompt) // config.BYTES_PER_TOKEN)


def _chat(messages) -> str:
    if not isinstance(messages, list) or not messages:
        raise errors.InvalidRequestError(
            "'messages' is not a non-empty list", "send a non-empty list of messages"
        )
    return "".join(_message(position, message) for position, message in enumerate(messages))


def _message(position: int, message) -> str:
    path = f"messages[{position}]"
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise errors.InvalidRequestError(
            f"'{path}' is not an object with a 'role' string", "send role and content"
        )
    return f"<{message['role']}>\n{_content(path, message.get('content'))}\n"


def _content(path: str, content) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(_content_part(path, part) for part in content)
    raise errors.InvalidRequestError(
        f"'{path}.content' is neither a string nor a list", "send a string or a list of text parts"
    )


def _content_part(path: str, part) -> str:
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return part["text"]
    raise errors.InvalidRequestError(
        f"'{path}.content' contains a part without 'text'", "send text parts only"
    )


def _text(prompt) -> str:
    if isinstance(prompt, str) and prompt:
        return prompt
    raise errors.InvalidRequestError(
        "'prompt' is not a non-empty string", "send one non-empty string"
    )
