"""Settings of the gateway and the scheduler.

Flags override environment variables, which override defaults.
"""

from __future__ import annotations

import ipaddress
from dataclasses import MISSING, dataclass, field, fields
from typing import TYPE_CHECKING, Any, TypeVar

from linkspan.errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping

PREFIX = "LINKSPAN_"
"""Prefix of environment variables with settings."""

T = TypeVar("T", bound="DaemonSettings")


def setting(
    default: Any = MISSING,
    *,
    help: str,
    unit: str = "",
    minimum: float | None = None,
    maximum: float | None = None,
    secret: bool = False,
) -> Any:
    """Return a data class field for a setting.

    Args:
        default: Value of the setting if none is given; without it, the setting is required.
        help: Description of the setting.
        unit: Unit of a number, or format of a text.
        minimum: Smallest valid number.
        maximum: Largest valid number.
        secret: Whether logs omit the value.
    """
    metadata = {"help": help, "unit": unit, "least": minimum, "most": maximum, "secret": secret}
    return field(default=default, metadata=metadata)


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonSettings:
    """Settings that the gateway and the scheduler share."""

    hall: str = setting(help="hall of this host", unit="name")
    customer: str = setting("", help="customer that this deployment serves", unit="name")
    name: str = setting("", help="name of this host; empty uses the address for peers", unit="name")
    log: str = setting(help="platform's log service", unit="ip:port")
    hosts: str = setting(help="platform's host list", unit="ip:port")
    peer_listen: str = setting("127.0.0.1:0", help="listener for peers", unit="ip:port")
    operator_listen: str = setting(
        "127.0.0.1:0", help="listener for operators, health and metrics", unit="ip:port"
    )
    operator_token: str = setting("", help="token that operators send", unit="text", secret=True)
    seeds: str = setting("", help="peers to contact at startup", unit="ip:port,ip:port")
    heartbeat_s: float = setting(
        1.0, help="time between heartbeats", unit="seconds", minimum=0.05, maximum=60
    )
    peer_silence_s: float = setting(
        3.0,
        help="time without a heartbeat after which a peer's work is taken over",
        unit="seconds",
        minimum=0.2,
        maximum=600,
    )
    hosts_poll_s: float = setting(
        1.0, help="time between reads of the host list", unit="seconds", minimum=0.05, maximum=60
    )
    log_level: str = setting("info", help="lowest level that is logged", unit="debug|info|warning")


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings(DaemonSettings):
    """Settings of ``linkspan gateway``."""

    listen: str = setting("127.0.0.1:0", help="listener for callers", unit="ip:port")
    max_body_bytes: int = setting(
        1_048_576, help="largest body of a request", unit="bytes", minimum=1, maximum=2**30
    )
    drain_notice_s: float = setting(
        2.0,
        help="time for the load balancer to notice that the gateway is not ready",
        unit="seconds",
        minimum=0,
        maximum=600,
    )
    drain_limit_s: float = setting(
        60.0, help="longest wait for requests in flight", unit="seconds", minimum=0, maximum=86_400
    )
    answer_timeout_s: float = setting(
        5.0,
        help="longest wait for a scheduler's decision",
        unit="seconds",
        minimum=0.1,
        maximum=600,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerSettings(DaemonSettings):
    """Settings of ``linkspan scheduler``."""

    lease_s: float = setting(
        15.0,
        help="time that a worker runs an attempt whose lease is not renewed",
        unit="seconds",
        minimum=0.2,
        maximum=3_600,
    )
    offline_renewal_s: float = setting(
        7_200.0,
        help="longest time that leases are renewed without reading the log's end",
        unit="seconds",
        minimum=1,
        maximum=604_800,
    )
    worker_silence_s: float = setting(
        10.0,
        help="time without a response after which a worker's attempts are recalled",
        unit="seconds",
        minimum=0.2,
        maximum=3_600,
    )
    hall_silence_s: float = setting(
        300.0,
        help="time without contact after which another hall's queue is taken over",
        unit="seconds",
        minimum=1,
        maximum=86_400,
    )
    exchange_s: float = setting(
        4.0, help="time between exchanges with a worker", unit="seconds", minimum=0.05, maximum=600
    )
    appends_per_s: float = setting(
        8.0,
        help="appends to the log that this hall may make",
        unit="1/seconds",
        minimum=0.1,
        maximum=1_000,
    )
    snapshot_records: int = setting(
        2_000,
        help="records between snapshots of the ledger",
        unit="records",
        minimum=10,
        maximum=1_000_000,
    )
    snapshot_s: float = setting(
        3_600.0,
        help="longest time between snapshots, well under the log's retention",
        unit="seconds",
        minimum=1,
        maximum=604_800,
    )


def load_settings(kind: type[T], flags: Mapping[str, Any], environment: Mapping[str, str]) -> T:
    """Return the settings in force.

    Args:
        kind: The daemon's settings class.
        flags: Values from the command line, by the setting's name.
        environment: The process's environment variables.

    Raises:
        SettingsError: One or more settings are invalid; the message lists each with its remedy.
    """
    known = {f.name: f for f in fields(kind)}
    problems = [f"--{flag}: no such setting; see --help" for flag in flags if flag not in known]
    problems += _unknown_variables(known, environment)
    values: dict[str, Any] = {}
    for name, spec in known.items():
        given = flags.get(name, environment.get(PREFIX + name.upper()))
        if given is None:
            if spec.default is MISSING:
                problems.append(f"--{name}: missing; give the {spec.metadata['help']}")
            continue
        try:
            values[name] = _parse(given, spec)
        except ValueError as error:
            problems.append(f"--{name}: {error}")
    if problems:
        raise SettingsError("\n".join(problems))
    return kind(**values)


def loggable_settings(settings: DaemonSettings) -> dict[str, Any]:
    """Return the settings in a form for logs, with secrets masked."""
    return {
        f.name: "***"
        if f.metadata["secret"] and getattr(settings, f.name)
        else getattr(settings, f.name)
        for f in fields(settings)
    }


def help_text(kind: type[DaemonSettings]) -> str:
    """Return a table of the settings for ``--help``."""
    lines = [f"{'flag':<22} {'default':<14} {'unit':<18} what"]
    for f in fields(kind):
        default = "(required)" if f.default is MISSING else f.default
        meta = f.metadata
        lines.append(f"--{f.name:<20} {default!s:<14} {meta['unit']:<18} {meta['help']}")
    lines.append(f"Each setting can also be given by the environment variable {PREFIX}NAME.")
    return "\n".join(lines)


def _unknown_variables(known: Mapping[str, Any], environment: Mapping[str, str]) -> list[str]:
    # Other programs of linkspan read their settings from the same environment.
    known_names = {f.name for kind in (GatewaySettings, SchedulerSettings) for f in fields(kind)}
    known_names |= {"gateway"} | set(known)
    return [
        f"{variable}: no such setting; unset it"
        for variable in environment
        if variable.startswith(PREFIX) and variable[len(PREFIX) :].lower() not in known_names
    ]


def _parse(given: Any, spec: Any) -> Any:
    kind = {"str": str, "int": int, "float": float}[spec.type]
    text = ",".join(map(str, given)) if isinstance(given, (tuple, list)) else str(given)
    meta = spec.metadata
    if kind is str:
        _check_text(text, meta["unit"])
        return text
    try:
        number = kind(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number; give {meta['unit']}") from None
    if not meta["least"] <= number <= meta["most"]:
        raise ValueError(f"{number} is outside {meta['least']} to {meta['most']} {meta['unit']}")
    return number


def _check_text(text: str, unit: str) -> None:
    if "|" in unit and text not in unit.split("|"):
        raise ValueError(f"{text!r}; give one of {unit}")
    if not unit.startswith("ip:port") or not text:
        return
    for part in text.split(","):
        host, _, port = part.rpartition(":")
        try:
            ipaddress.ip_address(host)
            valid = 0 <= int(port) <= 65_535
        except ValueError:
            valid = False
        if not valid:
            raise ValueError(
                f"{part!r} is not an address; give an IP number and port, like 10.0.0.7:7000"
            )
