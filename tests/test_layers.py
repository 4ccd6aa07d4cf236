"""Packages import only what lies below them."""

from __future__ import annotations

import ast
from pathlib import Path

import linkspan

ROOT = Path(linkspan.__file__).parent
LAYERS = (
    (
        "",
        "errors",
        "clock",
        "metrics",
        "model",
        "_capnp_schema",
        "_dropping_stream",
        "_rendezvous",
        "_typed",
    ),
    ("events", "settings", "trace", "selectors", "services", "store", "_fields", "_registry"),
    ("jobs", "config", "ledger", "report"),
    ("shard", "peer", "placement", "routing"),
    ("host", "platform", "runtime", "_log_commands"),
    ("host.daemon", "scheduler"),
    ("host._run", "gateway"),
    ("host.__main__", "cli"),
)
"""From the bottom up. What stands in one row knows nothing of its neighbours there."""
AGAINST = {
    "config.validate -> placement.placers",
    "config.validate -> routing.pickers",
}
"""Imports against the rule that are still there: names that register themselves above."""
RANKS = {unit: rank for rank, row in enumerate(LAYERS) for unit in row}


def _modules() -> dict[str, Path]:
    """Return the files of all modules by their name below the project's root package."""
    found = {}
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(part for part in parts if part != "__init__")] = path
    return found


def _imported(path: Path, modules: dict[str, Path]) -> set[str]:
    """Return the project's modules that a file imports, also those for types only."""
    named = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            named |= {alias.name for alias in node.names}
        if isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path}: a relative import"
            below = {f"{node.module}.{alias.name}" for alias in node.names}
            named |= {name for name in below if name.removeprefix("linkspan.") in modules} or {
                str(node.module)
            }
    ours = {name for name in named if name.split(".")[0] == "linkspan"}
    return {name.removeprefix("linkspan").removeprefix(".") for name in ours}


def _unit(module: str) -> str:
    """Return the row entry that a module belongs to: itself, or its package."""
    return module if module in RANKS else module.split(".", maxsplit=1)[0]


def _is_against(module: str, other: str) -> bool:
    unit, below = _unit(module), _unit(other)
    return unit != below and RANKS[below] >= RANKS[unit]


def test_every_package_has_its_layer() -> None:
    modules = _modules()
    assert {_unit(module) for module in modules} == set(RANKS)


def test_packages_import_only_what_lies_below() -> None:
    modules = _modules()
    arrows = {(name, other) for name, path in modules.items() for other in _imported(path, modules)}
    assert len(arrows) > len(modules)
    assert {f"{name} -> {other}" for name, other in arrows if _is_against(name, other)} == AGAINST


def test_packages_of_the_shard_say_their_concern() -> None:
    for path in (ROOT / "shard").rglob("__init__.py"):
        assert ast.get_docstring(ast.parse(path.read_text())), path
