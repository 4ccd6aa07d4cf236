"""Checks at the end of a run, by the observations of callers and executors."""

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

MAX_SETTLE_S = 60.0
"""Longest time from the last fault until complete recovery: leases of 6 s, a wait of 8 s for the
shard of another hall, and several times both for a busy machine."""

POLL_INTERVAL_S = 0.5
"""Interval between checks during recovery."""

MAX_START_DELAY_AFTER_CANCEL_S = 10.0
"""Time after an acknowledged cancellation, without faults, from which no task of the job may start:
three times the users' limit."""

MAX_CONFIGURATION_DELAY_S = 6.0
"""Time within which a configuration must be in force on all hosts, without faults: three times the
users' limit."""

MAX_POLLED_HOSTS = 8
"""Maximum number of hosts from which the state of each job is requested at the end."""

MIN_CRASHES = 2
"""Minimum number of executors that crash under a task before its job may be given up."""

FINAL = ("succeeded", "failed", "cancelled")


async def settle(world: World, callers: Callers) -> list[str]:
    """Wait for complete recovery and return the issues that remain at the time limit."""
    limit = time.monotonic() + MAX_SETTLE_S
    while issues := await _issues(world, callers):
        if time.monotonic() > limit:
            return issues
        await asyncio.sleep(POLL_INTERVAL_S)
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
        issues.append(f"ACKS {observed.listed_ends} ends are reported and not acknowledged")
    accepted = [job for job in callers.jobs if job.accepted_at]
    rows = await asyncio.gather(
        *(_job_issue(world, callers, job, n, observed) for n, job in enumerate(accepted))
    )
    return issues + [row for row in rows if row]


async def await_configuration(world: World, callers: Callers) -> list[str]:
    """Wait until the newest configuration is in force and return the remaining issues."""
    limit = time.monotonic() + MAX_CONFIGURATION_DELAY_S
    while issues := await _configuration_issues(world, callers):
        if time.monotonic() > limit:
            return issues
        await asyncio.sleep(POLL_INTERVAL_S)
    return []


async def _configuration_issues(world: World, callers: Callers) -> list[str]:
    issues = []
    old, new = world.version - VERSION_STEP, world.version
    for name in world.hosts:
        for version, expected_status in ((old, 404), (new, 200)):
            status, _ = await callers.call("GET", name, "", prefix=version_prefix(version))
            if status != expected_status:
                issues.append(f"CONFIG {name} answers {status} on version {version} of {new}")
    return issues


async def _job_issue(
    world: World, callers: Callers, job: Job, number: int, observed: Observed
) -> str | None:
    names = list(world.hosts)
    polled = {
        names[(number + step) % len(names)] for step in range(min(MAX_POLLED_HOSTS, len(names)))
    }
    for name in sorted(polled):
        state = await callers.ask(job, name)
        if not is_valid_state(job, state, observed):
            return f"LOST {job.id}: {name} shows {state}{_describe_progress(job, observed)}"
    running = set(job.tasks) & set(observed.running)
    must_run = job.standing and not job.cancel_requested_at and job.last_state != "failed"
    if must_run and len(running) < len(job.tasks):
        return f"LOST {job.id}: {len(job.tasks) - len(running)} standing tasks do not run"
    if job.cancelled_at and running:
        return f"UNASKED {job.id} is cancelled and runs{_describe_progress(job, observed)}"
    return None


def is_valid_state(job: Job, state: str | None, observed: Observed) -> bool:
    """Return whether a state is allowed for a job after recovery."""
    if state == "cancelled":
        return job.cancel_requested_at is not None
    if state == "failed":
        return _has_failed(job, observed) or _may_be_given_up(job, observed)
    if job.crash_after_s is not None:
        return False
    if state == "succeeded":
        return not job.standing
    # A cancellation without an acknowledgement may or may not have taken effect.
    return state == "running" and job.standing and job.cancelled_at is None


def _has_failed(job: Job, observed: Observed) -> bool:
    return any(observed.failed.get(task, 0) >= QUEUE.max_attempts for task in job.tasks)


def _may_be_given_up(job: Job, observed: Observed) -> bool:
    """Return whether enough executors crashed under a task to give its job up."""
    return any(observed.crashes.get(task, 0) >= MIN_CRASHES for task in job.tasks)


def count_other_given_up_jobs(callers: Callers, observed: Observed) -> int:
    """Return the number of jobs that crash no executor and failed without a failed run."""
    return sum(
        job.last_state == "failed" and not _has_failed(job, observed)
        for job in callers.jobs
        if job.crash_after_s is None
    )


def _describe_progress(job: Job, observed: Observed) -> str:
    running = sorted(set(job.tasks) & set(observed.running))
    done = len(set(job.tasks) & set(observed.done_at))
    return f" (done {done} of {len(job.tasks)}, running {running}, submissions {job.outcomes})"


def unexpected_errors(folder: Path) -> list[str]:
    """Return the unexpected errors in the hosts' logs in a folder."""
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
    """Return the violations that executors and callers have observed in the whole run."""
    violations = list(observed.broken) + callers.violations
    for job in callers.jobs:
        started = observed.started_at.get(job.id, [])
        if job.was_never_accepted and started:
            violations.append(f"REFUSED {job.id} started although all its submissions were refused")
        if job.cancelled_at:
            limit = max(job.cancelled_at, calm_from) + MAX_START_DELAY_AFTER_CANCEL_S
            if any(at > limit for at in started):
                violations.append(
                    f"UNASKED {job.id} started {MAX_START_DELAY_AFTER_CANCEL_S} s after its cancel"
                )
        if job.succeeded_at:
            done = [observed.done_at.get(task, float("inf")) for task in job.tasks]
            if max(done) > job.succeeded_at:
                violations.append(f"MIXED {job.id} was reported as succeeded before its last end")
    return violations
