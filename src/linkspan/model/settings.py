"""Settings of a host daemon under the names that this project uses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Address and rate limits of the store.

    Attributes:
        address: ``ip:port`` of the store.
        writes_per_s: Maximum write calls per second, for all hosts together.
        reads_per_s: Maximum read calls per second, for all hosts together.
        max_record_bytes: Maximum size of a record, with its key.
    """

    address: str
    writes_per_s: float = 800.0
    reads_per_s: float = 2000.0
    max_record_bytes: int = 262_144


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits and factors that the deployment specifies; times are in seconds.

    Attributes:
        max_lease_s: Longest lease that executors accept.
        stop_s: Longest time that a stop takes to take effect.
        drain_s: Time within which a draining executor must stop getting new work.
        grace_s: Time between SIGTERM and SIGKILL.
        gang_s: Time for which a member of a gang waits for the others.
        visible_s: Time within which an accepted job must be visible on every host.
        state_kept_s: Time for which a finished job's state must stay available.
        freeze_s: Length of a freeze after which a host must prove its ownership again.
        early_s: How long before its scheduled time a repetition may start.
        harm_s: Time over its latency target after which a standing task counts as harmed.
        far_factor: Factor on the duration of a task that runs away from its data.
        holder_lease_s: Time for which one holder's orders to a machine exclude all other holders.
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
        name: The host's name, which is the same after a restart.
        hall: The host's hall.
        halls: All halls in order; the index of a hall is the number of its shard.
        callers: ``ip:port`` of the listener for callers.
        readiness: ``ip:port`` of the readiness endpoint for the load balancer.
        store: Address and rate limits of the platform's store.
        advice: ``ip:port`` of the policy service, empty if there is none.
        machines: ``ip:port`` of the machine service, empty if there is none.
        bounds: Time limits and factors that the deployment specifies.
        executor_heartbeat_s: Interval at which executors register themselves.
        memory_mb: Memory limit of the process.
        max_fds: Limit of the process's open file descriptors.
        peer_ports: First and last port reserved for connections between hosts.
        ip: The host's IP address.
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
    max_fds: int = 4100
    peer_ports: tuple[int, int] = (0, 0)
    ip: str = "127.0.0.1"

    @property
    def shard(self) -> int:
        """Number of the shard that belongs to the host's hall."""
        return self.halls.index(self.hall)
