"""Parser for the settings file that the platform writes for each process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import yaml

from linkspan._typed import parse_int, parse_list, parse_number, parse_object, parse_text
from linkspan.errors import SettingsError
from linkspan.model.settings import Bounds, HostSettings, StoreLimits

PATH_VARIABLE = "LINKSPAN_BOOT"
"""Environment variable with the path of the settings file."""

_BOUND_FIELDS = {
    # field: (name in the file, factor that converts its value to the field's unit)
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
    """Return the path of the settings file.

    Raises:
        SettingsError: The environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{PATH_VARIABLE}: missing; set it to the settings file's path")
    return Path(path)


def read_settings(path: Path) -> HostSettings:
    """Read and check a settings file; unknown fields are ignored.

    Raises:
        SettingsError: The file cannot be read, or a field is missing or malformed.
    """
    try:
        loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        fields = yaml.load(path.read_bytes(), Loader=loader)
    except (OSError, yaml.YAMLError, ValueError, TypeError, KeyError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}; check the settings file") from error
    try:
        return _parse_settings(parse_object(fields))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: field {error}; give it in the documented form") from error


def _parse_settings(fields: dict[str, Any]) -> HostSettings:
    addresses = parse_object(fields["bindAddresses"])
    store = parse_object(fields["platform"])
    limits = parse_object(fields.get("limits"))
    if fields.get("commands", "invoke") != "invoke":
        raise SettingsError("commands: only 'invoke' is supported; set it to that")
    hall = parse_text(fields["zone"])
    halls = _parse_halls(fields["zones"])
    if hall not in halls:
        raise ValueError(f"zone: {hall!r} is not among zones")
    return HostSettings(
        name=parse_text(fields["nodeName"]),
        hall=hall,
        halls=halls,
        callers=parse_text(addresses["front"]),
        readiness=parse_text(addresses["ready"]),
        store=StoreLimits(
            parse_text(store["address"]),
            parse_number(store.get("writes_per_s") or 800),
            parse_number(store.get("reads_per_s") or 2000),
            parse_int(store.get("record_bytes") or 262_144, minimum=1),
        ),
        advice=parse_text(fields.get("advice") or ""),
        machines=parse_text(parse_object(fields.get("cloudApi")).get("address") or ""),
        bounds=_parse_bounds(parse_object(fields.get("bounds"))),
        executor_heartbeat_s=parse_number(fields.get("heartbeatMs") or 1500) / 1000,
        memory_mb=parse_int(limits.get("memoryMb") or 300, minimum=1),
        max_fds=parse_int(limits.get("maxFds") or 4100, minimum=1),
        peer_ports=_parse_ports(fields.get("internalPortRange")),
        ip=parse_text(fields["ip"]),
    )


def _parse_halls(value: Any) -> tuple[str, ...]:
    """Return the sorted halls from a list of halls or an object with the halls as keys."""
    names = value if isinstance(value, dict) else parse_list(value)
    return tuple(sorted(parse_text(hall) for hall in names))


def _parse_ports(value: Any) -> tuple[int, int]:
    """Return the first and the last port, or zeros for an invalid range.

    Hosts use no port of the range, so an invalid one is not an error.
    """
    try:
        first, last = (parse_int(port) for port in parse_list(value))
    except (TypeError, ValueError):
        return (0, 0)
    return (first, last)


def _parse_bounds(value: dict[str, Any]) -> Bounds:
    return Bounds(
        **{
            field: parse_number(value[name]) * unit
            for field, (name, unit) in _BOUND_FIELDS.items()
            if value.get(name) is not None
        }
    )
