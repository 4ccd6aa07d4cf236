"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import yaml

from linkspan._typed import parse_int, parse_list, parse_number, parse_object, parse_text
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
    except (OSError, yaml.YAMLError, ValueError, TypeError, KeyError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}; check the settings file") from error
    try:
        return _settings(parse_object(fields))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: field {error}; give it in the documented form") from error


def _settings(fields: dict[str, Any]) -> HostSettings:
    addresses = parse_object(fields["bindAddresses"])
    store = parse_object(fields["platform"])
    if fields.get("commands", "invoke") != "invoke":
        raise SettingsError("commands: only 'invoke' is supported; set it to that")
    hall = parse_text(fields["zone"])
    halls = _halls(fields["zones"])
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
        ),
        advice=parse_text(fields.get("advice") or ""),
        machines=parse_text(parse_object(fields.get("cloudApi")).get("address") or ""),
        bounds=_bounds(parse_object(fields.get("bounds"))),
        executor_heartbeat_s=parse_number(fields.get("heartbeatMs") or 1500) / 1000,
        memory_mb=parse_int(parse_object(fields.get("limits")).get("memoryMb") or 300, minimum=1),
        peer_ports=_ports(fields.get("internalPortRange")),
        ip=parse_text(fields["ip"]),
    )


def _halls(given: Any) -> tuple[str, ...]:
    """Return the halls in order, of a list of them or an object that has them as keys."""
    named = given if isinstance(given, dict) else parse_list(given)
    return tuple(sorted(parse_text(hall) for hall in named))


def _ports(given: Any) -> tuple[int, int]:
    """Return the first and the last port; hosts use none, so no form of them is refused."""
    try:
        first, last = (parse_int(port) for port in parse_list(given))
    except (TypeError, ValueError):
        return (0, 0)
    return (first, last)


def _bounds(given: dict[str, Any]) -> Bounds:
    return Bounds(
        **{
            field: parse_number(given[name]) * unit
            for field, (name, unit) in _BOUNDS.items()
            if given.get(name) is not None
        }
    )
