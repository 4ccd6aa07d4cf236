"""Type checks for values of decoded JSON or YAML."""

from __future__ import annotations

import sys
from reprlib import Repr
from typing import Any

MAX_EXACT_INT = 2**53
"""Largest accepted whole number; up to 2**53, JSON of any writer represents them exactly."""

MAX_FLOAT = sys.float_info.max
"""Largest finite number."""


_MAX_EXCERPT_LENGTH = 60
"""Limits the text of a value in an error message, in characters."""

_excerpts = Repr()
# ``repr`` of a value that is nested as deeply as JSON decoders follow exceeds the recursion limit.
_excerpts.maxlevel = 2
_excerpts.maxstring = _MAX_EXCERPT_LENGTH


def excerpt(value: Any) -> str:
    """Return a short text of a decoded value for an error message, however deeply it is nested.

    Example:
        >>> excerpt([[["deep"]], 7])
        '[[[...]], 7]'
    """
    return _excerpts.repr(value)[:_MAX_EXCERPT_LENGTH]


def parse_text(value: Any) -> str:
    """Return a value that must be a text.

    Raises:
        TypeError: The value is not a text.
        ValueError: The text cannot be encoded as UTF-8.
    """
    if not isinstance(value, str):
        raise TypeError(f"{excerpt(value)} is not a text")
    if not value.isascii():
        value.encode()
    return value


def parse_int(value: Any, *, minimum: int = 0) -> int:
    """Return a value that must be a number, truncated to a whole number.

    Raises:
        TypeError: The value is not a number.
        ValueError: The number is out of bounds.
    """
    # Reports contain many whole numbers, so the common case is checked first.
    if type(value) is int and minimum <= value <= MAX_EXACT_INT:
        return value
    return int(parse_number(value, minimum=minimum, maximum=MAX_EXACT_INT))


def parse_started_at_ms(value: Any) -> int | None:
    """Return the start time of a process in milliseconds, ``None`` where it is missing.

    The start time identifies an incarnation, so a fraction is an error and not truncated.

    Raises:
        TypeError: The value is not a whole number.
        ValueError: The number is out of bounds.
    """
    if value is not None and type(value) is not int:
        raise TypeError(f"{excerpt(value)} is not a start time in milliseconds")
    return None if value is None else parse_int(value)


def parse_number(value: Any, *, minimum: float = 0.0, maximum: float = MAX_FLOAT) -> float:
    """Return a value that must be a finite number, unchanged.

    Raises:
        TypeError: The value is not a number.
        ValueError: The number is out of bounds.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{excerpt(value)} is not a number")
    # The negated comparison also rejects NaN.
    if not minimum <= value <= maximum:
        raise ValueError(f"{excerpt(value)} is out of bounds")
    return value


def parse_list(value: Any) -> list[Any]:
    """Return a value that must be a list; a missing one becomes an empty list.

    Raises:
        TypeError: The value is not a list.
    """
    if type(value) is list:
        return value
    if value is None:
        return []
    if not isinstance(value, list | tuple):
        raise TypeError(f"{excerpt(value)} is not a list")
    return list(value)


def parse_object(value: Any) -> dict[str, Any]:
    """Return a value that must be an object; a missing one becomes an empty dictionary.

    Raises:
        TypeError: The value is not an object.
    """
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise TypeError(f"{excerpt(value)} is not an object")
    return value
