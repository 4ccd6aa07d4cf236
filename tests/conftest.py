"""The same examples in each run; tests that KNOWN-RED.txt lists are passed over, aloud."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings

settings.register_profile("steady", derandomize=True, database=None, deadline=None)
settings.load_profile("steady")

_LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
_FOUND: list[str] = []


def _known_red() -> dict[str, list[str]]:
    """Return what is listed of each test: one may have several entries, each in its own words."""
    lines = _LIST.read_text().splitlines() if _LIST.exists() else []
    listed: dict[str, list[str]] = {}
    for line in lines:
        if line.strip() and not line.startswith("#"):
            name, _, rest = line.partition("|")
            listed.setdefault(name.strip(), []).append(rest.strip())
    return listed


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    red = _known_red()
    listed = [item for item in items if item.nodeid in red]
    if listed and len(listed) < len(items):
        config.hook.pytest_deselected(items=listed)
        items[:] = [item for item in items if item.nodeid not in red]
        _FOUND.extend(f"{item.nodeid}: {entry}" for item in listed for entry in red[item.nodeid])


def pytest_sessionfinish(session: pytest.Session) -> None:
    """Have a worker of a parallel run tell what it passed over."""
    if hasattr(session.config, "workeroutput"):
        session.config.workeroutput["passed_over"] = list(_FOUND)


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node: Any) -> None:
    """Take over what a worker tells; all of them collect the same tests."""
    told = getattr(node, "workeroutput", {}).get("passed_over", [])
    _FOUND.extend(line for line in told if line not in _FOUND)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for line in _FOUND:
        terminalreporter.write_line(f"KNOWN RED, passed over: {line}")
