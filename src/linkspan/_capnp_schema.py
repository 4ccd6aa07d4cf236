"""Lazy loading of Cap'n Proto schemas."""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any


@cache
def load_schema(module_file: str, name: str) -> Any:
    """Return the schema of a file in the directory of a module.

    The library is imported on the first call, as it takes memory that the command line does not
    need.

    Args:
        module_file: The module's ``__file__``.
        name: File name of the schema.
    """
    import capnp

    capnp.remove_import_hook()
    return capnp.load(str(Path(module_file).with_name(name)))
