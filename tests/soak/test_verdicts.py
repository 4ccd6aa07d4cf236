"""What is kept of a run of the soak that broke a promise."""

from __future__ import annotations

from pathlib import Path

from soak.deployment import Plan
from soak.run import Outcome
from soak.verdicts import FAULTS_FILE, keep_failed_runs, write_verdict


def test_a_run_that_broke_a_promise_leaves_its_verdict_and_its_logs(tmp_path: Path) -> None:
    """Guards against a red run of which nobody can tell any more which promise it broke."""
    played, kept = tmp_path / "played", tmp_path / "kept"
    broken = [f"LOST job {number}" for number in range(30)]
    write_verdict(played / "seed-7", Outcome(Plan.of_seed(7, 20.0), violations=broken))
    (played / "seed-7" / FAULTS_FILE).write_text("12.50 kill host-1\n")
    (played / "seed-7" / "host-1.log").write_text("{}\n")
    told = keep_failed_runs([7, 9], played, kept)
    assert "BROKEN 30" in told and "LOST job 29" in told and "kill host-1" in told
    assert "seed-9" in told and "the run did not finish" in told
    assert (kept / "seed-7" / "host-1.log").exists()
