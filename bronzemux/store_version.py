"""Versions of the store's rows that stay in order when the store is restored from an older copy.

A restored store counts its transactions from an earlier number again and gives the same numbers to
other rows. Its era, the number of restores, then rises by one. A version is the era and the
number in one integer, so that each version of a later era is greater than all of the eras before.
Without restores it equals the store's own number.
"""

# 30 years of 1,000 transactions a second. Era and number together fit into 63 bits.
NUMBER_BITS = 40
MAX_NUMBER = 2**NUMBER_BITS - 1
MAX_ERA = 2**23 - 1


def combine(era: int, number: int) -> int:
    """Return the version for a number that the store gave in an era.

    Raises:
      ValueError: When the era or the number is out of range.
    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"the era {era} is not between 0 and {MAX_ERA}")
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"the number {number} is not between 0 and {MAX_NUMBER}")
    return era << NUMBER_BITS | number


def era_of(version: int) -> int:
    """Return the era of a version, -1 for the version of a table that has not been read."""
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number that the store gave."""
    return version & MAX_NUMBER


def text(version: int) -> str:
    """Return a version for logs, as in "2.37" for the number 37 of era 2."""
    return f"{era_of(version)}.{number_of(version)}" if version >= 0 else "none"
