"""Validation of a complete configuration document."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from linkspan.config.document import (
    SECTIONS,
    parse_anti_affinity,
    parse_labels,
    parse_quota,
    parse_service,
)
from linkspan.errors import InvalidInput, SelectorSyntaxError
from linkspan.placement.placers import PLACERS
from linkspan.routing.pickers import PICKERS
from linkspan.selectors.selector import parse_selector

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from linkspan.config.document import Document

MAX_KEYS = 20_000
"""Maximum number of keys of a document."""


class Finding(NamedTuple):
    """An error or a probable mistake in a document.

    Attributes:
        key: The key that the finding is about.
        text: Description of the problem and its remedy.
        is_error: Whether the document is refused because of the finding.
    """

    key: str
    text: str
    is_error: bool


def validate(document: Document) -> list[Finding]:
    """Return all findings in a document.

    The result depends on the document alone, so every host comes to the same one.
    """
    if len(document) > MAX_KEYS:
        return [Finding("", f"{len(document)} keys; use at most {MAX_KEYS}", True)]
    return [finding for key, value in document.items() for finding in _check(key, value)]


def errors_in(document: Document) -> list[Finding]:
    """Return the findings because of which the document is refused."""
    return [finding for finding in validate(document) if finding.is_error]


def _check(key: str, value: Any) -> Iterator[Finding]:
    section, _, name = key.partition("/")
    check = _CHECKS.get(section)
    if check is None:
        yield Finding(key, f"unknown section; use one of {', '.join(SECTIONS)}", True)
        return
    try:
        yield from check(name, value)
    except InvalidInput as error:
        yield Finding(key, str(error), True)
    except SelectorSyntaxError as error:
        yield Finding(key, str(error), True)


def _check_service(name: str, value: Any) -> Iterator[Finding]:
    service = parse_service(name, value)
    if service.deadline_ms > service.max_deadline_ms:
        text = "deadline_ms exceeds max_deadline_ms; lower deadline_ms or raise max_deadline_ms"
        yield Finding(f"services/{name}", text, True)


def _check_labels(name: str, value: Any) -> Iterator[Finding]:
    parse_labels(f"labels/{name}", value)
    yield from ()


def _check_anti_affinity(name: str, value: Any) -> Iterator[Finding]:
    rule = parse_anti_affinity(name, value)
    for text in (rule.work, rule.never_with):
        key = parse_selector(text).contradiction()
        if key:
            problem = f"selector {text!r} never matches: its conditions on label {key!r} conflict"
            yield Finding(f"company/{name}", f"{problem}; remove one condition", False)


def _check_quota(name: str, value: Any) -> Iterator[Finding]:
    quota = parse_quota(name, value)
    if not quota.milli_cpu or not quota.memory_mb:
        text = (
            "the quota lacks processors or memory, so the team can run nothing; raise or delete it"
        )
        yield Finding(f"quotas/{name}", text, False)


def _check_placement(name: str, value: Any) -> Iterator[Finding]:
    if value not in PLACERS.names():
        yield Finding(f"placement/{name}", f"use one of {PLACERS.names()}", True)


def _check_routing(name: str, value: Any) -> Iterator[Finding]:
    if value not in PICKERS.names():
        yield Finding(f"routing/{name}", f"use one of {PICKERS.names()}", True)


def _check_halls(name: str, value: Any) -> Iterator[Finding]:
    if not isinstance(value, Mapping) or not isinstance(value.get("region"), str):
        yield Finding(f"halls/{name}", 'give {"region": NAME}', True)


_CHECKS: dict[str, Callable[[str, Any], Iterator[Finding]]] = {
    "services": _check_service,
    "labels": _check_labels,
    "company": _check_anti_affinity,
    "quotas": _check_quota,
    "placement": _check_placement,
    "routing": _check_routing,
    "halls": _check_halls,
}
