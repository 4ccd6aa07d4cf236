"""Kinds of faults and planned work for days on the users' bench."""

from __future__ import annotations

TROUBLES: dict[str, str] = {
    "burst": 'kind = "burst", x = 3.0, for_s = 6.0',
    "give_up": 'kind = "give_up", share = 0.5, for_s = 8.0',
    "crash-dark": 'kind = "srv_crash", share = 0.25, for_s = 5.0, how = "dark"',
    "crash-gone": 'kind = "srv_crash", share = 0.2, for_s = 5.0, how = "gone"',
    "crash-rack": 'kind = "srv_crash", share = 0.2, for_s = 5.0, how = "rack"',
    "slow": 'kind = "srv_slow", share = 0.3, x = 8.0, for_s = 8.0',
    "grey-errors": 'kind = "srv_grey", how = "errors", share = 0.2, x = 1.0, for_s = 7.0',
    "grey-hang": 'kind = "srv_grey", how = "hang", share = 0.2, x = 1.0, for_s = 7.0',
    "grey-reset": 'kind = "srv_grey", how = "reset", share = 0.2, x = 0.6, for_s = 7.0',
    "grey-mute": 'kind = "srv_grey", how = "mute", share = 0.2, x = 0.6, for_s = 7.0',
    "grey-slow": 'kind = "srv_grey", how = "slow", share = 0.2, x = 8.0, for_s = 7.0',
    "release": 'kind = "release", share = 0.4, x = 1.0, gap_s = 1.0',
    "scale-in": 'kind = "scale_in", share = 0.15',
    "scale-in-spot": 'kind = "scale_in", share = 0.15, how = "spot"',
    "reclaim": 'kind = "scale_in", share = 0.15, how = "reclaim", for_s = 6.0',
    "kill": 'kind = "node_kill", share = 0.4',
    "kill-power": 'kind = "node_kill", share = 0.4, for_s = 4.0, how = "power"',
    "kill-leader": 'kind = "node_kill", on = "core", count = 1, how = "leader race"',
    "freeze-leader": 'kind = "node_freeze", on = "core", count = 1, for_s = 6.0, how = "leader"',
    "freeze-renewed": 'kind = "node_freeze", on = "core", count = 1, for_s = 6.0, how = "renewed"',
    "host-slow": 'kind = "node_slow", share = 0.4, x = 8.0, for_s = 8.0',
    "roll": 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.2',
    "roll-busy": 'kind = "roll_term", share = 0.5, x = 1.0, gap_s = 1.2, how = "busy"',
    "roll-remove": 'kind = "roll_term", share = 0.2, x = 1.0, gap_s = 1.5, how = "remove"',
    "kill-all": 'kind = "herd_kill", on = "core", share = 1.0',
    "power-all": 'kind = "herd_kill", on = "core", share = 1.0, how = "off", for_s = 3.0',
    "power-taken": 'kind = "herd_kill", share = 0.6, how = "taken", for_s = 3.0',
    "add": 'kind = "add_nodes"',
    "replace": 'kind = "replace_core", x = 2.0',
    "replace-planned": 'kind = "replace_core", x = 2.0, how = "planned"',
    "after-ack": 'kind = "after_ack_kill", for_s = 3.0',
    "after-ack-taken": 'kind = "after_ack_kill", for_s = 3.0, how = "taken"',
    "clock": 'kind = "clock_step", share = 0.5, x = 4000.0, for_s = 5.0',
    "clock-ahead": 'kind = "clock_step", share = 0.5, x = 4000.0, for_s = 5.0, how = "ahead"',
    "reset-conns": 'kind = "reset_conns", share = 0.6, x = 0.8',
    "silent-conns": 'kind = "reset_conns", share = 1.0, x = 1.0, how = "silent"',
    "zone-cut": 'kind = "zone_cut", for_s = 6.0',
    "zone-cut-reset": 'kind = "zone_cut", for_s = 6.0, how = "reset"',
    "core-cut": 'kind = "core_cut", count = 2, for_s = 6.0',
    "core-cut-leader": 'kind = "core_cut", for_s = 6.0, how = "leader race"',
    "core-cut-one-way": 'kind = "core_cut", for_s = 6.0, how = "one_way"',
    "host-cut": 'kind = "node_cut", share = 0.3, for_s = 6.0',
    "executor-cut": 'kind = "node_cut", share = 0.25, for_s = 6.0, how = "servers"',
    "executor-cut-fronts": 'kind = "srv_cut", share = 0.25, for_s = 6.0, how = "fronts", x = 0.5',
    "executor-cut-some": 'kind = "srv_cut", share = 0.25, for_s = 6.0, how = "some", x = 0.5',
    "executor-cut-lossy": 'kind = "srv_cut", share = 0.25, for_s = 6.0, how = "some lossy"',
    "store-silent": 'kind = "platform_down", for_s = 7.0, how = "silent lapse"',
    "store-reset": 'kind = "platform_down", for_s = 7.0, how = "reset"',
    "store-busy": 'kind = "platform_down", for_s = 7.0, how = "busy lapse"',
    "store-hosts": 'kind = "platform_down", how = "nodes silent revoke", share = 0.5, for_s = 8.0',
    "store-hosts-leader": (
        'kind = "platform_down", how = "nodes leader many", share = 0.3, for_s = 8.0'
    ),
    "store-slow": 'kind = "platform_slow", x = 80.0, for_s = 6.0',
    "store-lost": 'kind = "platform_lost", x = 0.5, for_s = 6.0',
    "store-lost-late": 'kind = "platform_lost", x = 0.4, for_s = 6.0, how = "late"',
    "compact": 'kind = "platform_compact", x = 6.0, for_s = 3.0, how = "keyed"',
    "compact-drain": (
        'kind = "platform_compact", x = 3.0, for_s = 2.0, how = "drain rebalance rewind"'
    ),
    "config-storm": 'kind = "config_storm", gap_s = 0.2, for_s = 4.0',
    "config-route": 'kind = "config_change", how = "route"',
    "poison": 'kind = "poison", share = 0.3, for_s = 8.0',
    "late-orders": 'kind = "applied_late", x = 0.15, for_s = 8.0, how = "orders"',
    "late-all": 'kind = "applied_late", x = 0.1, for_s = 8.0, how = "all"',
    "hup": 'kind = "hup", share = 1.0, gap_s = 1.0',
    "machines-down": 'kind = "cloud_down", for_s = 8.0, how = "silent"',
    "machines-slow": 'kind = "cloud_slow", for_s = 8.0, x = 100.0',
}
"""Fields of each kind as listed by ``fleetbench kinds``, stronger than in the sites' days."""

PLANNED = frozenset(
    (
        "release",
        "scale-in",
        "reclaim",
        "scale-in-spot",
        "roll",
        "roll-busy",
        "roll-remove",
        "add",
        "config-storm",
        "config-route",
        "hup",
    )
)
"""Kinds that are planned work and not faults."""

ONCE = frozenset(("add",))
"""Kinds that occur only once a day."""
