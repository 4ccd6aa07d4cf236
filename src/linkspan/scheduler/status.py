"""The scheduler's ``/status`` page for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from linkspan.scheduler.core import SchedulerCore


def status_of(core: SchedulerCore, now: float, *, config_version: int) -> dict[str, Any]:
    """Return the content of ``/status``, as a value for JSON.

    Args:
        core: The core of this scheduler.
        now: Time in seconds.
        config_version: Configuration version in force.
    """
    ledger = core.ledger
    return {
        "name": core.name,
        "hall": ledger.hall,
        "config_version": config_version,
        "leads": core.leads(now),
        "schedulers": sorted(core.live_schedulers(now)),
        "ledger": {
            "next_offset": ledger.next_offset,
            "jobs": len(ledger.jobs),
            "running": len(ledger.placements),
            "queued": core.queued(),
            "recalled": len(ledger.recalled),
            "tail_age_s": round(now - core.tail_read, 3),
        },
        "workers": {
            worker_entry.spec.name: {
                "size": list(worker_entry.spec.size),
                "used": list(worker_entry.used),
                "tasks": len(worker_entry.tasks),
            }
            for worker_entry in ledger.workers.values()
        },
    }
