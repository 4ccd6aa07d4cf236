"""Checks that each package imports only packages of lower layers."""

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
    ("_event_writer",),
    ("events", "settings", "trace", "selectors", "services", "store", "_fields", "_registry"),
    ("jobs", "config", "ledger", "report"),
    ("shard", "peer", "placement", "routing"),
    ("host", "platform", "runtime", "commands"),
    ("host.daemon", "scheduler"),
    ("host._run", "gateway"),
    ("host.__main__", "cli"),
)
"""Layers from the bottom up. Units of the same layer do not import each other."""
KNOWN_VIOLATIONS = {
    "config.validate -> placement.placers",
    "config.validate -> routing.pickers",
}
"""Known imports of a higher layer: they load modules that register names."""
RANKS = {unit: rank for rank, row in enumerate(LAYERS) for unit in row}


def _modules() -> dict[str, Path]:
    """Return the files of all modules by their name relative to the root package."""
    found = {}
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(part for part in parts if part != "__init__")] = path
    return found


def _imported(path: Path, modules: dict[str, Path]) -> set[str]:
    """Return the project's modules that a file imports, including imports for type checking."""
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
    own = {name for name in named if name.split(".")[0] == "linkspan"}
    return {name.removeprefix("linkspan").removeprefix(".") for name in own}


def _unit(module: str) -> str:
    """Return the unit of a module in ``LAYERS``: the module itself or its package."""
    return module if module in RANKS else module.split(".", maxsplit=1)[0]


def _violates_layers(module: str, other: str) -> bool:
    unit, below = _unit(module), _unit(other)
    return unit != below and RANKS[below] >= RANKS[unit]


def test_every_unit_has_a_layer() -> None:
    modules = _modules()
    assert {_unit(module) for module in modules} == set(RANKS)


def test_packages_import_only_lower_layers() -> None:
    modules = _modules()
    imports = {
        (name, other) for name, path in modules.items() for other in _imported(path, modules)
    }
    assert len(imports) > len(modules)
    assert {
        f"{name} -> {other}" for name, other in imports if _violates_layers(name, other)
    } == KNOWN_VIOLATIONS


def test_each_package_of_shard_has_a_docstring() -> None:
    for path in (ROOT / "shard").rglob("__init__.py"):
        assert ast.get_docstring(ast.parse(path.read_text())), path
