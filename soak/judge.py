"""What must hold at the end of a run, and while it goes on."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from pathlib import Path

from tests.job_builders import QUEUE

from soak.callers import Callers, Job
from soak.deployment import version_prefix
from soak.executors import Observed
from soak.world import VERSION_STEP, World

SETTLE_S = 60.0
"""Longest time from the last fault until all is served again: leases of 6 s, a wait of
8 s for another hall's shard, and several times both for a busy machine."""

LOOK_S = 0.5
"""Pause between looks while all settles."""

LATE_START_S = 10.0
"""Time after an acknowledged cancel, in calm times, from which on no task of the job
may start: three times the users' bound."""

CONFIGURATION_S = 6.0
"""Time in which a configuration must be in force everywhere, in calm times: three times
the users' bound."""

ASKED_HOSTS = 8
"""Hosts that are asked for each job at the end; every host where there are fewer."""

MIN_CRASHES = 2
"""Executors that must have crashed under a task before its job may be given up."""

FINAL = ("succeeded", "failed", "cancelled")


async def settle(world: World, callers: Callers) -> list[str]:
    """Wait until all is as it should be and return what is not, within its time."""
    limit = time.monotonic() + SETTLE_S
    while issues := await _issues(world, callers):
        if time.monotonic() > limit:
            return issues
        await asyncio.sleep(LOOK_S)
    return []


async def _issues(world: World, callers: Callers) -> list[str]:
    issues = [
        f"UNSERVED {host.name} is not ready"
        for host in world.hosts.values()
        if not await world.ready(host)
    ]
    issues += await _configuration_issues(world, callers)
    observed = await world.observed()
    if observed.listed_ends:
        issues.append(f"ACKS {observed.listed_ends} ends are listed and not acknowledged")
    accepted = [job for job in callers.jobs if job.accepted_at]
    rows = await asyncio.gather(
        *(_job_issue(world, callers, job, n, observed) for n, job in enumerate(accepted))
    )
    return issues + [row for row in rows if row]


async def await_configuration(world: World, callers: Callers) -> list[str]:
    """Wait until the newest configuration is in force; return where it is not in its time."""
    limit = time.monotonic() + CONFIGURATION_S
    while issues := await _configuration_issues(world, callers):
        if time.monotonic() > limit:
            return issues
        await asyncio.sleep(LOOK_S)
    return []


async def _configuration_issues(world: World, callers: Callers) -> list[str]:
    issues = []
    old, new = world.version - VERSION_STEP, world.version
    for name in world.hosts:
        for version, right in ((old, 404), (new, 200)):
            status, _ = await callers.call("GET", name, "", prefix=version_prefix(version))
            if status != right:
                issues.append(f"CONFIG {name} answers {status} on version {version} of {new}")
    return issues


async def _job_issue(
    world: World, callers: Callers, job: Job, number: int, observed: Observed
) -> str | None:
    names = list(world.hosts)
    asked = {names[(number + step) % len(names)] for step in range(min(ASKED_HOSTS, len(names)))}
    for name in sorted(asked):
        state = await callers.ask(job, name)
        if not is_right(job, state, observed):
            return f"LOST {job.id}: {name} shows {state}{_running(job, observed)}"
    left = set(job.tasks) & set(observed.running)
    lasts = job.standing and not job.cancel_asked_at and job.last_state != "failed"
    if lasts and len(left) < len(job.tasks):
        return f"LOST {job.id}: {len(job.tasks) - len(left)} standing tasks do not run"
    if job.cancelled_at and left:
        return f"UNASKED {job.id} is cancelled and runs{_running(job, observed)}"
    return None


def is_right(job: Job, state: str | None, observed: Observed) -> bool:
    """Whether a job may be shown in a state once all has settled."""
    if state == "cancelled":
        return job.cancel_asked_at is not None
    if state == "failed":
        return _has_failed(job, observed) or _may_be_given_up(job, observed)
    if job.crash_after_s is not None:
        return False
    if state == "succeeded":
        return not job.standing
    # A cancel without an acknowledgement may have been done, or not.
    return state == "running" and job.standing and job.cancelled_at is None


def _has_failed(job: Job, observed: Observed) -> bool:
    return any(observed.failed.get(task, 0) >= QUEUE.max_attempts for task in job.tasks)


def _may_be_given_up(job: Job, observed: Observed) -> bool:
    """Whether as many executors crashed under a task as the users ask for at the least."""
    return any(observed.crashes.get(task, 0) >= MIN_CRASHES for task in job.tasks)


def given_up_beside(callers: Callers, observed: Observed) -> int:
    """Return how many jobs that crash no executor were last shown as failed without a failure."""
    return sum(
        job.last_state == "failed" and not _has_failed(job, observed)
        for job in callers.jobs
        if job.crash_after_s is None
    )


def _running(job: Job, observed: Observed) -> str:
    running = sorted(set(job.tasks) & set(observed.running))
    done = len(set(job.tasks) & set(observed.done_at))
    return f" (done {done} of {len(job.tasks)}, running {running}, told {job.told})"


def crashes(folder: Path) -> list[str]:
    """Return errors that hosts logged in a folder and did not expect."""
    lines = []
    for path in sorted(folder.glob("host-*.log")):
        for line in path.read_text(errors="replace").splitlines():
            with suppress(ValueError):
                if json.loads(line).get("name") == "crashed":
                    lines.append(f"CRASHED {path.stem}: {line[:300]}")
                    continue
            if line.startswith("Traceback"):
                lines.append(f"CRASHED {path.stem}: traceback in its output")
    return lines


def judge(callers: Callers, observed: Observed, calm_from: float) -> list[str]:
    """Return promises broken by what executors and callers saw in the whole run."""
    broken = list(observed.broken) + callers.violations
    for job in callers.jobs:
        started = observed.started_at.get(job.id, [])
        if job.never_taken and started:
            broken.append(f"REFUSED {job.id} started, and was only ever refused")
        if job.cancelled_at:
            limit = max(job.cancelled_at, calm_from) + LATE_START_S
            if any(at > limit for at in started):
                broken.append(f"UNASKED {job.id} started {LATE_START_S} s after its cancel")
        if job.succeeded_at:
            done = [observed.done_at.get(task, float("inf")) for task in job.tasks]
            if max(done) > job.succeeded_at:
                broken.append(f"MIXED {job.id} was shown as succeeded before its last end")
    return broken
