"""Loads Cap'n Proto schemas when they are first needed."""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any


@cache
def load_schema(module_file: str, name: str) -> Any:
    """Return the schema of a file that stands beside a module.

    The library is imported here, since it costs memory that the command line
    has no use for.

    Args:
        module_file: The module's ``__file__``.
        name: The schema's file name.
    """
    import capnp

    capnp.remove_import_hook()
    return capnp.load(str(Path(module_file).with_name(name)))
