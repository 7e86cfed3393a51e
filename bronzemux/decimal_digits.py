"""Parser of numbers in text that other programs or users write.

`str.isdigit` is also true for digits of other scripts and for superscripts, some of which `int`
rejects, as it does numbers of more than 4300 digits.
"""

MAX_PORT = 65535


def parse(text: str, maximum: int) -> int | None:
    """Return the number that a text of ASCII digits holds, None for any other text.

    Args:
      text: The text.
      maximum: Largest number.
    """
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(maximum)):
        return None
    value = int(text)
    return value if value <= maximum else None


def parse_port(text: str) -> int | None:
    """Return the TCP port that a text holds, without leading zeros, None for any other text."""
    return None if text.startswith("0") else parse(text, MAX_PORT)
