"""Validation of JSON objects in requests, with errors that name the field and the remedy."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import orjson

from linkspan._typed import excerpt
from linkspan.errors import InvalidInput


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Decode a body that must be a JSON object.

    Raises:
        InvalidInput: The body is not a JSON object.
    """
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidInput("body", f"is not JSON ({error})", "send a JSON object") from error
    return as_object("body", value)


def as_object(path: str, value: Any) -> dict[str, Any]:
    """Return a value that must be an object, as a new dictionary.

    Raises:
        InvalidInput: The value is not an object.
    """
    if not isinstance(value, Mapping):
        raise InvalidInput(path, f"is {type(value).__name__}", "give an object")
    return dict(value)


def as_text(path: str, value: Any, *, max_length: int = 1_024) -> str:
    """Return a value that must be a text of 1 to ``max_length`` printable characters.

    Raises:
        InvalidInput: The value is not such a text.
    """
    if isinstance(value, str) and 1 <= len(value) <= max_length and value.isprintable():
        return value
    problem = "missing" if value is None else "malformed"
    raise InvalidInput(path, problem, f"give 1 to {max_length} printable characters")


def as_number(path: str, value: Any, minimum: int, maximum: int) -> int:
    """Return a value that must be a whole number from ``minimum`` to ``maximum``.

    Raises:
        InvalidInput: The value is not such a number.
    """
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise InvalidInput(path, excerpt(value), f"give a whole number from {minimum} to {maximum}")
    return value


def check_known_fields(path: str, fields: Iterable[str], known: Iterable[str]) -> None:
    """Check that all fields are known.

    Raises:
        InvalidInput: A field is unknown; the error names the field below ``path``.
    """
    unknown = sorted(set(fields) - set(known))
    if unknown:
        name = unknown[0][:64]
        where = f"{path}/{name}" if path else name
        raise InvalidInput(where, "unknown field", f"use {', '.join(sorted(known))}")
