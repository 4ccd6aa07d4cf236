"""Commands about jobs, which call a gateway's listener for callers."""

from __future__ import annotations

import sys

from linkspan.commands.gateway_client import GatewayClient
from linkspan.commands.output import format_table, print_response
from linkspan.errors import SettingsError


class JobCommands:
    """Commands that submit, show and cancel jobs."""

    def submit(self, file: str, gateway: str = "", json: bool = False) -> None:
        """Submit a job.

        Args:
            file: Path of the job's JSON file, - for standard input.
            gateway: ip:port of a gateway's listener for callers.
            json: Print the full response as JSON.
        """
        body = sys.stdin.buffer.read() if file == "-" else _read_file(file)
        response = GatewayClient(gateway).call("POST", "/jobs", body)
        print_response(response, json, lambda: [f"{response['job_id']}: {response['status']}"])

    def jobs(self, job_id: str, gateway: str = "", json: bool = False) -> None:
        """Print the state of a job.

        Args:
            job_id: Id of the job.
            gateway: ip:port of a gateway's listener for callers.
            json: Print as JSON.
        """
        response = GatewayClient(gateway).call("GET", f"/jobs/{job_id}")
        rows = [[key, value] for key, value in (response.get("counts") or {}).items()]
        title = f"{job_id}: {response.get('state', response['status'])}"
        print_response(response, json, lambda: [title, *format_table(["tasks", "number"], rows)])

    def cancel(self, job_id: str, gateway: str = "", json: bool = False) -> None:
        """Cancel a job.

        Args:
            job_id: Id of the job.
            gateway: ip:port of a gateway's listener for callers.
            json: Print as JSON.
        """
        response = GatewayClient(gateway).call("DELETE", f"/jobs/{job_id}")
        print_response(
            response, json, lambda: [f"{job_id}: {response.get('state', response['status'])}"]
        )

    def explain(self, job_id: str, gateway: str = "", json: bool = False) -> None:
        """Print why a job is in its current state.

        Args:
            job_id: Id of the job.
            gateway: ip:port of a gateway's listener for callers.
            json: Print as JSON.
        """
        response = GatewayClient(gateway).call("GET", f"/jobs/{job_id}/explain")
        waiting = response.get("waiting_because")
        lines = [f"{job_id}: {response.get('counts')}"]
        lines += [f"waiting because {waiting}"] if waiting else []
        print_response(response, json, lambda: lines + list(response.get("decisions", [])))


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}; give a readable file") from error
