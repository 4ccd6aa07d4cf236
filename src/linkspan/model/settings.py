"""Settings of a host daemon, as the product names them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the store bears.

    Attributes:
        address: ``ip:port`` of the store.
        writes_per_s: Writing calls a second, of all hosts together.
        reads_per_s: Reading calls a second, of all hosts together.
    """

    address: str
    writes_per_s: float = 800.0
    reads_per_s: float = 2000.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times that the deployment grants, in seconds.

    Attributes:
        max_lease_s: Longest lease that executors take.
        stop_s: Longest time that a stop takes.
        drain_s: Time in which a draining executor must get no new work.
        grace_s: Time between SIGTERM and SIGKILL.
        gang_s: Time that a gang's member waits for the others.
        visible_s: Time in which an accepted job is to be seen on every host.
        state_kept_s: Time for which a finished job's state is to be shown.
        freeze_s: Stand-still after which a host must prove its ownership again.
        early_s: How much before its due time a repetition may start.
        harm_s: Time after which a disturbed standing task counts as harmed.
        far_factor: How much longer a task takes away from its data.
        holder_lease_s: Time for which one holder's orders to a machine exclude others'.
    """

    max_lease_s: float = 10.0
    stop_s: float = 0.9
    drain_s: float = 2.0
    grace_s: float = 6.0
    gang_s: float = 3.0
    visible_s: float = 3.0
    state_kept_s: float = 120.0
    freeze_s: float = 0.3
    early_s: float = 0.25
    harm_s: float = 4.0
    far_factor: float = 1.5
    holder_lease_s: float = 3.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one host daemon.

    Attributes:
        name: The host's name, kept over restarts.
        hall: Its hall.
        halls: All halls in order; the place of a hall is its shard's number.
        callers: ``ip:port`` where callers are served.
        readiness: ``ip:port`` where the balancer asks for readiness.
        store: The platform's store.
        advice: ``ip:port`` of the placement policy's service, empty without one.
        machines: ``ip:port`` of the machine service, empty without one.
        bounds: Times that the deployment grants.
        executor_heartbeat_s: How often executors register themselves.
        memory_mb: Memory that the process may use.
        peer_ports: First and last port free for talk between hosts.
        ip: The host's address.
    """

    name: str
    hall: str
    halls: tuple[str, ...]
    callers: str
    readiness: str
    store: StoreLimits
    advice: str = ""
    machines: str = ""
    bounds: Bounds = Bounds()
    executor_heartbeat_s: float = 1.5
    memory_mb: int = 300
    peer_ports: tuple[int, int] = (0, 0)
    ip: str = "127.0.0.1"

    @property
    def shard(self) -> int:
        """Number of the shard of this host's hall."""
        return self.halls.index(self.hall)
