"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import yaml

from linkspan.errors import SettingsError
from linkspan.model.settings import Bounds, HostSettings, StoreLimits

PATH_VARIABLE = "LINKSPAN_BOOT"
"""Environment variable that holds the file's path."""

_BOUNDS = {
    # field: (name on the wire, seconds in one of its units)
    "max_lease_s": ("holdMaxMs", 0.001),
    "stop_s": ("stop_ms", 0.001),
    "drain_s": ("drainMs", 0.001),
    "grace_s": ("graceS", 1.0),
    "gang_s": ("gang_ms", 0.001),
    "visible_s": ("visible_ms", 0.001),
    "state_kept_s": ("status_s", 1.0),
    "freeze_s": ("thawMs", 0.001),
    "early_s": ("early_ms", 0.001),
    "harm_s": ("harm_ms", 0.001),
    "far_factor": ("far_x", 1.0),
    "holder_lease_s": ("leaseMs", 0.001),
}


def settings_path() -> Path:
    """Return where the settings file lies.

    Raises:
        SettingsError: The environment does not tell.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{PATH_VARIABLE}: missing; set it to the settings file's path")
    return Path(path)


def read_settings(path: Path) -> HostSettings:
    """Read and check a settings file; fields that are not known are passed over.

    Raises:
        SettingsError: The file cannot be read, or a field is missing or malformed.
    """
    try:
        loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        fields = yaml.load(path.read_bytes(), Loader=loader)
    except (OSError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {error}; check the settings file") from error
    try:
        return _settings(fields)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"{path}: field {error}; give it in the documented form") from error


def _settings(fields: dict[str, Any]) -> HostSettings:
    addresses = fields["bindAddresses"]
    store = fields["platform"]
    if fields.get("commands", "invoke") != "invoke":
        raise SettingsError("commands: only 'invoke' is supported; set it to that")
    return HostSettings(
        name=fields["nodeName"],
        hall=fields["zone"],
        halls=tuple(sorted(fields["zones"])),
        callers=addresses["front"],
        readiness=addresses["ready"],
        store=StoreLimits(
            store["address"],
            float(store.get("writes_per_s") or 800),
            float(store.get("reads_per_s") or 2000),
        ),
        advice=fields.get("advice") or "",
        machines=(fields.get("cloudApi") or {}).get("address") or "",
        bounds=_bounds(fields.get("bounds") or {}),
        executor_heartbeat_s=float(fields.get("heartbeatMs") or 1500) / 1000,
        memory_mb=int((fields.get("limits") or {}).get("memoryMb") or 300),
        peer_ports=tuple(fields.get("internalPortRange") or (0, 0)),
        ip=fields["ip"],
    )


def _bounds(given: dict[str, Any]) -> Bounds:
    return Bounds(
        **{
            field: float(given[name]) * unit
            for field, (name, unit) in _BOUNDS.items()
            if given.get(name) is not None
        }
    )
