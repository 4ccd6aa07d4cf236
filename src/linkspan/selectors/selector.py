"""Selectors, with which operators and callers write conditions on labels.

Grammar::

    selector = [ term { "and" term } ]
    term     = "not" term | KEY | KEY ("=" | "!=") VALUE
             | KEY ["not"] "in" "(" VALUE { "," VALUE } ")"

A bare key matches if the label exists. The empty selector matches everything.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from linkspan.errors import SelectorSyntaxError

if TYPE_CHECKING:
    from collections.abc import Mapping

_TOKEN = re.compile(r"\s*(?:(!=|=|\(|\)|,)|([A-Za-z0-9_./:-]+))")
_KEYWORDS = frozenset({"and", "not", "in"})
MAX_SELECTOR_LENGTH = 1_024
"""Maximum length of a selector, in characters."""


@dataclass(frozen=True, slots=True)
class Term:
    """One condition: the value of a label is, or is not, one of ``values``.

    Empty ``values`` require only that the label exists or, if negated, that it does not.
    """

    key: str
    values: frozenset[str]
    negated: bool = False

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet the condition."""
        value = labels.get(self.key)
        found = value is not None and (not self.values or value in self.values)
        return found is not self.negated


@dataclass(frozen=True, slots=True)
class Selector:
    """A conjunction of conditions on labels.

    Example:
        >>> parse_selector("rack in (a, b) and not gpu").matches({"rack": "a"})
        True
        >>> parse_selector("arch=arm64").matches({"arch": "amd64"})
        False
    """

    terms: tuple[Term, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet all conditions."""
        return all(term.matches(labels) for term in self.terms)

    def contradiction(self) -> str:
        """Return the key of two conditions that exclude each other, or an empty string."""
        for first in self.terms:
            for second in self.terms:
                if first.key == second.key and _exclude_each_other(first, second):
                    return first.key
        return ""


def _exclude_each_other(first: Term, second: Term) -> bool:
    if first.negated:
        return False
    if second.negated:
        return not second.values or (bool(first.values) and first.values <= second.values)
    return bool(first.values and second.values) and not first.values & second.values


class _Parser:
    """Recursive descent parser for one selector."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0

    def parse(self) -> Selector:
        if len(self._text) > MAX_SELECTOR_LENGTH:
            raise self._error(f"use at most {MAX_SELECTOR_LENGTH} characters", MAX_SELECTOR_LENGTH)
        if not self._text.strip():
            return Selector()
        terms = [self._parse_term()]
        while not self._is_at_end():
            self._expect("and")
            terms.append(self._parse_term())
        return Selector(tuple(terms))

    def _parse_term(self) -> Term:
        negated = False
        while self._accept("not"):
            negated = not negated
        key = self._parse_word("a label key")
        if self._accept("="):
            return Term(key, frozenset({self._parse_word("a value")}), negated)
        if self._accept("!="):
            return Term(key, frozenset({self._parse_word("a value")}), not negated)
        if self._accept("not"):
            self._expect("in")
            return Term(key, self._parse_values(), not negated)
        if self._accept("in"):
            return Term(key, self._parse_values(), negated)
        return Term(key, frozenset(), negated)

    def _parse_values(self) -> frozenset[str]:
        self._expect("(")
        values = {self._parse_word("a value")}
        while self._accept(","):
            values.add(self._parse_word("a value"))
        self._expect(")")
        return frozenset(values)

    def _is_at_end(self) -> bool:
        return not self._text[self._position :].strip()

    def _peek(self) -> tuple[str, int]:
        match = _TOKEN.match(self._text, self._position)
        if match is None:
            return "", self._position
        return match.group(1) or match.group(2), match.end()

    def _accept(self, token: str) -> bool:
        found, end = self._peek()
        if found != token:
            return False
        self._position = end
        return True

    def _expect(self, token: str) -> None:
        if not self._accept(token):
            raise self._error(f"write {token!r} here")

    def _parse_word(self, expected: str) -> str:
        found, end = self._peek()
        if not found or found in _KEYWORDS or not found[0].isalnum():
            raise self._error(f"write {expected} here")
        self._position = end
        return found

    def _error(self, remedy: str, position: int | None = None) -> SelectorSyntaxError:
        at = self._position if position is None else position
        while at < len(self._text) and self._text[at].isspace():
            at += 1
        return SelectorSyntaxError(self._text, at, remedy)


@lru_cache(maxsize=4_096)
def parse_selector(text: str) -> Selector:
    """Parse a selector.

    Raises:
        SelectorSyntaxError: The text does not match the grammar.
    """
    return _Parser(text).parse()
