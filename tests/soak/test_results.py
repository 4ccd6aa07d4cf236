"""Results and logs that are kept of a soak run with violations.

Guards against a failed run of which nobody can tell any more which rule it violated.
"""

from __future__ import annotations

from pathlib import Path

from soak.deployment import Plan
from soak.results import FAULTS_FILE, keep_failed_runs, write_result
from soak.run import Outcome


def test_a_run_with_violations_leaves_its_result_and_logs(tmp_path: Path) -> None:
    runs, kept = tmp_path / "played", tmp_path / "kept"
    violations = [f"LOST job {number}" for number in range(30)]
    write_result(runs / "seed-7", Outcome(Plan.of_seed(7, 20.0), violations=violations))
    (runs / "seed-7" / FAULTS_FILE).write_text("12.50 kill host-1\n")
    (runs / "seed-7" / "host-1.log").write_text("{}\n")
    report = keep_failed_runs([7, 9], runs, kept)
    assert "BROKEN 30" in report and "LOST job 29" in report and "kill host-1" in report
    assert "seed-9" in report and "the run did not finish" in report
    assert (kept / "seed-7" / "host-1.log").exists()
