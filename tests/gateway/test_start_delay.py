"""Time for which a gateway that starts collects heartbeats before it uses a slot."""

from __future__ import annotations

import pytest

from linkspan.gateway.daemon import start_delay_s
from linkspan.settings import GatewaySettings, load_settings


@pytest.mark.parametrize(
    ("flags", "delay_s"),
    [({}, 3.0), ({"hosts_poll_s": 5.0}, 15.0), ({"heartbeat_s": 2.0, "hosts_poll_s": 0.2}, 6.0)],
)
def test_a_gateway_waits_for_reads_of_the_host_list_and_heartbeats(
    flags: dict[str, float], delay_s: float
) -> None:
    """Guards against slots that are used before the host list shows the other gateways."""
    required = {"hall": "east", "log": "127.0.0.1:1", "hosts": "127.0.0.1:1"}
    settings = load_settings(GatewaySettings, {**required, **flags}, {})
    assert start_delay_s(settings) == delay_s
