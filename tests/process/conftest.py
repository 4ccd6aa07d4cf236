"""Fixtures: small fleets of processes for one test each."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest_asyncio

from tests.standins.fleet import Fleet

HALL = "rennes-a"
SERVICE = "finder-api"


async def publish_basics(fleet: Fleet, **service: Any) -> None:
    """Publish the settings of the hall and the service, and wait until all daemons are ready."""
    gateway = next(d for d in fleet.daemons.values() if d.callers)
    config = {"customer": "borne-breizh", "deadline_ms": 3_000, **service}
    values = {f"services/{SERVICE}": config, f"halls/{HALL}": {"region": "breizh"}}
    await fleet.publish(gateway, values, "basics")
    await fleet.ready(*fleet.daemons.values())


@pytest_asyncio.fixture
async def jobs_fleet() -> AsyncIterator[Fleet]:
    """One hall with two schedulers, a gateway and three workers."""
    async with Fleet() as fleet:
        await asyncio.gather(
            fleet.add_workers(HALL, 3, run_s=1.0),
            fleet.add_daemon("scheduler", HALL, "s1"),
            fleet.add_daemon("scheduler", HALL, "s2"),
            fleet.add_daemon("gateway", HALL, "g1"),
        )
        await publish_basics(fleet)
        yield fleet


@pytest_asyncio.fixture
async def requests_fleet() -> AsyncIterator[Fleet]:
    """One hall with two gateways and two executors."""
    async with Fleet() as fleet:
        await asyncio.gather(
            fleet.add_executors(HALL, SERVICE, 2, service_s=0.02),
            fleet.add_daemon("gateway", HALL, "g1", max_body_bytes=10_000),
            fleet.add_daemon("gateway", HALL, "g2", max_body_bytes=10_000),
        )
        await publish_basics(fleet)
        yield fleet
