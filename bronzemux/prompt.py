"""Prompt of a request body as the bytes that are split into pieces."""

from collections.abc import Mapping

from bronzemux import config, errors

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"


def render(path: str, body: Mapping) -> bytes:
    """Return the prompt of a request.

    Args:
      path: `CHAT_PATH` or `TEXT_PATH`.
      body: Decoded body.

    Raises:
      errors.InvalidRequestError: When the prompt is missing or has an unsupported form.
    """
    text = _chat(body.get("messages")) if path == CHAT_PATH else _text(body.get("prompt"))
    try:
        return text.encode()
    except UnicodeEncodeError as error:
        raise errors.InvalidRequestError(
            f"the prompt holds a character that is not text: {error.reason}",
            "send Unicode text without lone surrogates",
        ) from error


def token_estimate(prompt: bytes) -> int:
    """Return the estimated number of tokens of a prompt."""
    return max(1, len(prompt) // config.BYTES_PER_TOKEN)


def _chat(messages) -> str:
    if not isinstance(messages, list) or not messages:
        raise errors.InvalidRequestError("'messages' is not a list", "send a list of messages")
    return "".join(_message(position, message) for position, message in enumerate(messages))


def _message(position: int, message) -> str:
    path = f"messages[{position}]"
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise errors.InvalidRequestError(f"'{path}' has no role", "send role and content")
    return f"<{message['role']}>\n{_content(path, message.get('content'))}\n"


def _content(path: str, content) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(_content_part(path, part) for part in content)
    raise errors.InvalidRequestError(f"'{path}.content' is not text", "send a string")


def _content_part(path: str, part) -> str:
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return part["text"]
    raise errors.InvalidRequestError(
        f"'{path}.content' holds a part without text", "send text parts"
    )


def _text(prompt) -> str:
    if isinstance(prompt, str) and prompt:
        return prompt
    raise errors.InvalidRequestError("'prompt' is not a string", "send one non-empty string")
