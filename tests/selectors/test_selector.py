"""The selector language: which labels match, and what syntax errors report.

Guards against text that is parsed into another selector than it says, and against an error
without a position or a remedy.
"""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkspan.errors import SelectorSyntaxError
from linkspan.selectors.selector import parse_selector

CASES = [
    ("", {}, True),
    ("gpu", {"gpu": "a"}, True),
    ("not gpu", {"gpu": "a"}, False),
    ("tier=quiet and rack in (a, b)", {"tier": "quiet", "rack": "b"}, True),
    ("rack not in (a, b)", {"rack": "c"}, True),
    ("rack != a", {}, True),
    ("not rack = a", {"rack": "a"}, False),
    ("not not gpu", {"gpu": ""}, True),
]


@pytest.mark.parametrize(("text", "labels", "expected"), CASES)
def test_selector_matches_labels(text: str, labels: dict[str, str], expected: bool) -> None:
    assert parse_selector(text).matches(labels) is expected


ERRORS = [
    ("rack in a", 8, "write '(' here"),
    ("rack = and", 7, "write a value here"),
    ("a b", 2, "write 'and' here"),
    ("a and", 5, "write a label key here"),
    ("a in (b", 7, "write ')' here"),
    ("a & b", 2, "write 'and' here"),
    ("a" * 1_025, 1_024, "use at most 1024 characters"),
]


@pytest.mark.parametrize(("text", "position", "remedy"), ERRORS)
def test_error_names_position_and_remedy(text: str, position: int, remedy: str) -> None:
    with pytest.raises(SelectorSyntaxError, match=r".*") as caught:
        parse_selector(text)
    assert caught.value.position == position
    assert remedy in str(caught.value)


@settings(derandomize=True, database=None)
@given(
    st.text(alphabet="ab =!(),inotd", max_size=24),
    st.dictionaries(st.sampled_from("ab"), st.sampled_from("ab")),
)
def test_any_text_parses_or_says_where(text: str, labels: dict[str, str]) -> None:
    try:
        selector = parse_selector(text)
    except SelectorSyntaxError as error:
        assert 0 <= error.position <= len(text)
        return
    if selector.contradiction():
        assert not selector.matches(labels)
