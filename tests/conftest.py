"""Makes Hypothesis deterministic, and skips and reports the tests that KNOWN-RED.txt lists."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings

settings.register_profile("steady", derandomize=True, database=None, deadline=None)
settings.load_profile("steady")

_KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
_SKIPPED_ENTRIES: list[str] = []


def _known_red() -> dict[str, list[str]]:
    """Return the entries of each listed test, which may have several."""
    lines = _KNOWN_RED_FILE.read_text().splitlines() if _KNOWN_RED_FILE.exists() else []
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
        _SKIPPED_ENTRIES.extend(
            f"{item.nodeid}: {entry}" for item in listed for entry in red[item.nodeid]
        )


def pytest_sessionfinish(session: pytest.Session) -> None:
    """Send the entries of skipped tests from a worker of a parallel run to its controller."""
    if hasattr(session.config, "workeroutput"):
        session.config.workeroutput["passed_over"] = list(_SKIPPED_ENTRIES)


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node: Any) -> None:
    """Merge a worker's skipped entries. All workers collect the same tests."""
    received = getattr(node, "workeroutput", {}).get("passed_over", [])
    _SKIPPED_ENTRIES.extend(line for line in received if line not in _SKIPPED_ENTRIES)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for line in _SKIPPED_ENTRIES:
        terminalreporter.write_line(f"KNOWN RED, passed over: {line}")
