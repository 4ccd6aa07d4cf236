"""Values of decoded JSON or YAML as the types that the code behind them counts on."""

from __future__ import annotations

import sys
from typing import Any

MAX_EXACT_INT = 2**53
"""Largest size of a whole number: up to it, JSON of any writer keeps numbers exact."""

MAX_FLOAT = sys.float_info.max
"""Largest finite number."""


def parse_text(value: Any) -> str:
    """Return a text.

    Raises:
        TypeError: It is none.
        ValueError: It cannot be encoded.
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r:.60} is no text")
    if not value.isascii():
        value.encode()
    return value


def parse_int(value: Any, *, minimum: int = 0) -> int:
    """Return a whole number; a fraction is cut off.

    Raises:
        TypeError: It is no number.
        ValueError: It is out of bounds.
    """
    # Reports hold many of these: the common case goes first.
    if type(value) is int and minimum <= value <= MAX_EXACT_INT:
        return value
    return int(parse_number(value, minimum=minimum, maximum=MAX_EXACT_INT))


def parse_started_at_ms(value: Any) -> int | None:
    """Return the birth of a process, ``None`` where it does not stand.

    Unlike a size it names something, so nothing is cut off.

    Raises:
        TypeError: It is no whole number.
        ValueError: It is out of bounds.
    """
    if value is not None and type(value) is not int:
        raise TypeError(f"{value!r:.60} is no birth")
    return None if value is None else parse_int(value)


def parse_number(value: Any, *, minimum: float = 0.0, maximum: float = MAX_FLOAT) -> float:
    """Return a finite number as it was given.

    Raises:
        TypeError: It is none.
        ValueError: It is out of bounds.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r:.60} is no number")
    # NaN is not within any bounds.
    if not minimum <= value <= maximum:
        raise ValueError(f"{value!r:.60} is out of bounds")
    return value


def parse_list(value: Any) -> list[Any]:
    """Return a list; one that is left out is empty.

    Raises:
        TypeError: It is none.
    """
    if type(value) is list:
        return value
    if value is None:
        return []
    if not isinstance(value, list | tuple):
        raise TypeError(f"{value!r:.60} is no list")
    return list(value)


def parse_object(value: Any) -> dict[str, Any]:
    """Return an object; one that is left out is empty.

    Raises:
        TypeError: It is none.
    """
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise TypeError(f"{value!r:.60} is no object")
    return value
