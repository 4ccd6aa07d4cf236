"""Prints responses of a gateway, as JSON or as lines and tables."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


def print_response(response: Any, as_json: bool, lines: Callable[[], Iterable[str]]) -> None:
    """Print a response as JSON, or the lines that show it."""
    if as_json:
        print(orjson.dumps(response, option=orjson.OPT_INDENT_2).decode())
        return
    for line in lines():
        print(line)


def format_table(head: list[str], rows: list[list[Any]]) -> list[str]:
    """Return the lines of a table whose columns are as wide as their widest cells."""
    texts = [head, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[n]) for row in texts) for n in range(len(head))]
    return [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in texts
    ]
