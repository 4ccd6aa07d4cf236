"""Log events: their catalogue, and the log that they are written to."""

from __future__ import annotations

import logging
from enum import Enum

from linkspan._event_writer import EventWriter


class Event(Enum):
    """Events with their number, level, text and a remedy for operators."""

    STARTED = 100, logging.INFO, "daemon started", "nothing; the settings in force are listed"
    LISTENING = 101, logging.INFO, "listening", "nothing; addresses are listed"
    DRAINING = 103, logging.INFO, "stop requested, draining", "wait for 104"
    STOPPED = 104, logging.INFO, "stopped", "nothing"
    CRASHED = (
        105,
        logging.ERROR,
        "a task of the daemon failed with an exception",
        ("report it with the line; the process exits and must be started again"),
    )
    LINES_DROPPED = (
        112,
        logging.WARNING,
        "log lines dropped because their reader is too slow",
        "find out why standard output is not read; the count is in the line",
    )
    FLOOD = (
        106,
        logging.WARNING,
        "lines of an event suppressed by the rate limit",
        "see the count in the line",
    )
    CONFIG_IN_FORCE = 200, logging.INFO, "configuration version in force", "nothing"
    CONFIG_REFUSED = 201, logging.WARNING, "configuration change refused", "read the reason"
    CONFIG_FROM_PEER = (
        202,
        logging.INFO,
        "configuration received from a peer",
        ("check the log service if this happens repeatedly"),
    )
    LOG_DOWN = 210, logging.WARNING, "log service did not respond", "see OPERATIONS.md, log outage"
    LOG_BACK = 211, logging.INFO, "log service responds again", "nothing"
    LOG_GAP = (
        212,
        logging.WARNING,
        "records expired before they were read; resuming from a snapshot",
        ("check that snapshots are taken more often than records expire"),
    )
    APPEND_UNKNOWN = (
        213,
        logging.WARNING,
        "append got no response",
        ("nothing; reading the log shows whether it took effect"),
    )
    HOSTS_DOWN = (
        220,
        logging.WARNING,
        "host list did not respond",
        "nothing; the last list stays in use",
    )
    PEER_BAD = (
        230,
        logging.WARNING,
        "connection to a peer closed because of an invalid message",
        ("check that all hosts run the same version"),
    )
    ROUTED = 300, logging.INFO, "request served by an executor", "nothing"
    REQUEST_REFUSED = 301, logging.WARNING, "request refused", "see OPERATIONS.md, overload"
    REQUEST_FAILED = 302, logging.WARNING, "request got no complete response", "check the executor"
    EXECUTOR_EJECTED = (
        303,
        logging.WARNING,
        "executor ejected after failures",
        ("check the executor"),
    )
    FORWARDED = (
        304,
        logging.INFO,
        "request forwarded to a gateway of another hall",
        ("check why this hall has no executor of the service"),
    )
    JOB_SUBMITTED = 400, logging.INFO, "job submitted", "nothing"
    JOB_CANCELLED = 401, logging.INFO, "cancellation of a job requested", "nothing"
    PLACED = 410, logging.INFO, "task placed", "nothing"
    NOT_PLACED = 411, logging.INFO, "tasks stay queued", "read the reason"
    DECIDED = 412, logging.INFO, "decisions applied from the ledger", "nothing"
    DECISION_IGNORED = (
        413,
        logging.INFO,
        "decision ignored because an earlier record takes precedence",
        "nothing",
    )
    RECALLED = 420, logging.WARNING, "attempt recalled from a silent worker", "check the worker"
    LAPSED = 421, logging.WARNING, "attempt's lease proven to have expired", "nothing"
    EVICTION = 422, logging.INFO, "attempt is evicted from its worker", "read the reason"
    WORKER_SEEN = 430, logging.INFO, "worker new, changed or restarted", "nothing"
    WORKER_SILENT = 431, logging.WARNING, "worker does not respond", "check the worker"
    HALL_LOST = 432, logging.WARNING, "queue of an unreachable hall taken over", "check the hall"
    LEAD_CHANGED = 440, logging.INFO, "placement taken over or handed off", "nothing"
    EVACUATION_IN_FORCE = (
        573,
        logging.INFO,
        "evacuation of a hall in force; nothing more is started there",
        "see OPERATIONS.md, evacuating a hall",
    )
    EVACUATION_ENDED = 574, logging.INFO, "evacuation of a hall withdrawn", "nothing"
    HALL_EVACUATED = (
        575,
        logging.INFO,
        "owner starts nothing more in its evacuated hall",
        "see OPERATIONS.md, evacuating a hall; the counts say what is left there",
    )
    HALL_REOPENED = 576, logging.INFO, "owner starts work in its hall again", "nothing"
    SET_ASIDE = (
        577,
        logging.INFO,
        "executor's memory or accelerators set aside for a waiting task",
        "nothing; 537 names the runs that are stopped for it",
    )
    SET_ASIDE_ENDED = (
        578,
        logging.INFO,
        "executor's memory or accelerators no longer set aside",
        "if the task did not fit in time, see what holds the executor's memory",
    )
    OWNER_CLAIMED = 500, logging.INFO, "shard claimed with a new fencing token", "nothing"
    OWNER_RECOVERED = 501, logging.INFO, "shard's state read after a claim", "nothing"
    OWNER_LOST = 502, logging.WARNING, "shard given up", "nothing; another host owns it"
    OWNER_HANDED_ON = 503, logging.INFO, "shard handed off before a stop", "nothing"
    OWNER_SILENT = 504, logging.WARNING, "shard's owner is silent", "check the owner's host"
    STORE_DOWN = (
        510,
        logging.WARNING,
        "store does not respond or refuses calls",
        "see OPERATIONS.md, store outage",
    )
    STORE_BACK = 511, logging.INFO, "store responds again", "nothing"
    RECORD_SKIPPED = 512, logging.WARNING, "store record cannot be decoded", "check its writer"
    RECORDS_LISTED = 513, logging.INFO, "newest record of each key read", "nothing"
    PRODUCER_RENUMBERED = (
        514,
        logging.WARNING,
        "store lost the state of a producer; its records are written again",
        "check the store",
    )
    JOB_ACCEPTED = 520, logging.INFO, "job accepted and durable", "nothing"
    JOB_REFUSED = 521, logging.WARNING, "job refused; it never runs", "read the reason"
    JOB_IN_DOUBT = (
        522,
        logging.WARNING,
        "outcome of a submission unknown",
        "nothing; the caller retries it",
    )
    JOB_CANCEL = 523, logging.INFO, "cancellation is durable", "nothing"
    START_WITHHELD = (
        605,
        logging.WARNING,
        "start not sent, as a failed run of its task is not on record; it follows once that is",
        "check the store, or why it does not take the job's record (510)",
    )
    EARLY_CANCEL_REFUSED = (
        604,
        logging.WARNING,
        "cancel of an unknown job refused, as too many of these are kept",
        "see OPERATIONS.md, cancels of unknown jobs",
    )
    JOB_ASKED = 524, logging.DEBUG, "job's state returned", "nothing"
    JOB_DECIDED = 525, logging.INFO, "job's final state decided", "if it failed, read the reason"
    JOB_TAKEN_IN = 526, logging.INFO, "shard starts to manage a job", "nothing"
    JOB_HOPELESS = (
        527,
        logging.WARNING,
        "job refused, as it could no longer be of use when done; it never runs",
        "see OPERATIONS.md, jobs refused in time",
    )
    STANDING_REFUSED = (
        528,
        logging.WARNING,
        "standing job refused, as no hall has room for it beside short work; it never runs",
        "see OPERATIONS.md, standing jobs without room",
    )
    JOB_BEGUN = (
        529,
        logging.INFO,
        "job announced as begun: it no longer counts as waiting",
        "nothing; the line says what shows it",
    )
    WAITING_COUNTED = 585, logging.INFO, "number of a queue's waiting jobs returned", "nothing"
    STEP_PLACED = 530, logging.INFO, "tasks placed on executors", "nothing"
    STEP_BLOCKED = 531, logging.INFO, "tasks wait for capacity", "nothing"
    STEP_PASSED_OVER = (
        584,
        logging.INFO,
        "tasks with a reservation wait for room while other tasks start",
        "see OPERATIONS.md, short work that waits for cores",
    )
    STANDING_WAITS = (
        569,
        logging.WARNING,
        "standing tasks have not been running for seconds",
        "see OPERATIONS.md, a standing task that does not run; the line has the reason",
    )
    WORK_STAYS = (
        581,
        logging.WARNING,
        "tasks have waited for seconds beside room in another hall",
        "see OPERATIONS.md, work that stays in its hall; the line has the reason",
    )
    COMPLETION_ANNOUNCED = (
        582,
        logging.INFO,
        "record of done tasks written for other halls",
        "nothing",
    )
    TASKS_COMPLETED_ELSEWHERE = (
        583,
        logging.INFO,
        "tasks are done by the record of another hall",
        "nothing",
    )
    RUNS_UNLISTED = (
        579,
        logging.WARNING,
        "standing runs believed in have not been in a report of their executor for seconds",
        "see OPERATIONS.md, a standing task that does not run",
    )
    TASKS_UNMANAGED = (
        580,
        logging.WARNING,
        "standing tasks may be managed by no hall, by the records of their handovers",
        "see OPERATIONS.md, a standing task that does not run",
    )
    START_REFUSED = 532, logging.INFO, "executor refused a start", "read the reason"
    START_IN_DOUBT = (
        533,
        logging.WARNING,
        "start got no response",
        "nothing; a report or a stop resolves it",
    )
    START_ABANDONED = (
        571,
        logging.WARNING,
        "unanswered start of a standing task abandoned; the task may start elsewhere",
        "see OPERATIONS.md, a standing task that does not run",
    )
    ACKNOWLEDGEMENT_DELAYED = (
        572,
        logging.WARNING,
        "poll that acknowledges ends answered late, by another incarnation, or not at all",
        "see OPERATIONS.md, a task ran twice, if starts is above 0",
    )
    RUN_FAILED = 534, logging.INFO, "run failed", "see the job's limit of attempts"
    FAILURE_HEARD_AGAIN = (
        562,
        logging.INFO,
        "failed run reported again; it is already counted",
        "nothing",
    )
    RUN_ENDED = 535, logging.INFO, "run ended before its task was done", "read how"
    RUN_LOST = 536, logging.WARNING, "executor no longer lists a run", "nothing; it is run again"
    RUN_MOVED = 537, logging.INFO, "run stopped to continue elsewhere", "read the reason"
    UNKNOWN_RUN_STOPPED = 538, logging.WARNING, "run of no known task stopped", "nothing"
    PACE_SET = 539, logging.INFO, "pace of best-effort runs changed", "nothing"
    END_UNKNOWN = (
        557,
        logging.INFO,
        "end of a run acknowledged whose job is not managed here",
        "see OPERATIONS.md, a task ran twice, if its job goes on in another hall",
    )
    WORK_HANDED_OVER = 550, logging.INFO, "waiting tasks handed over to another hall", "nothing"
    HANDOVER_PUBLISHED = (
        601,
        logging.INFO,
        "handover of tasks durable and announced to all hosts",
        "nothing; 602 of the other hall follows",
    )
    TASKS_ARRIVED = 602, logging.INFO, "tasks of another hall taken over", "nothing; 530 follows"
    ROOM_PUBLISHED = 600, logging.INFO, "summary with more free cores published", "nothing"
    ROOM_SEEN = (
        599,
        logging.INFO,
        "another hall's summary has more free cores while standing tasks wait here",
        "nothing; 550 follows if a task that waits fits there",
    )
    MOVE_KEPT = 555, logging.INFO, "move of a whole job is durable", "nothing; 556 follows"
    MOVE_TOLD = 556, logging.INFO, "move of a job announced to all hosts", "nothing"
    RUN_COPIED = 553, logging.INFO, "speculative copy of a slow run started", "nothing"
    ADVICE_GIVEN = 551, logging.INFO, "policy service issued tickets", "nothing"
    ADVICE_MISSING = (
        552,
        logging.WARNING,
        "policy service did not respond",
        "check the policy service; steps of its queues wait",
    )
    LATENCY_OVER = 554, logging.INFO, "standing task was over its latency target", "see 539"
    CALLER_DROPPED = (
        565,
        logging.INFO,
        "requests refused before they were handled, or connections closed, in the last second",
        "see the reason and the count; OPERATIONS.md, callers outside the limits",
    )
    CALLER_REQUEST_FAILED = (
        603,
        logging.ERROR,
        "request failed with an exception",
        "report it with the line; the caller got 500",
    )
    EXECUTOR_SEEN = 540, logging.INFO, "executor registered", "nothing"
    EXECUTOR_READY = (
        598,
        logging.INFO,
        "executor has answered and is on the roster, so that work may start there",
        "nothing",
    )
    ENTRY_CONTRADICTED = (
        597,
        logging.INFO,
        "registry entry names another incarnation or address than the known executor of its id",
        "nothing after a restart; if it recurs, check who writes this entry",
    )
    EXECUTOR_DRAINING = 541, logging.INFO, "executor is draining", "nothing"
    EXECUTOR_GONE = 542, logging.WARNING, "executor's incarnation has ended", "nothing"
    EXECUTOR_CRASHED = (
        558,
        logging.WARNING,
        "executor crashed; the line lists the tasks that ran there",
        "see OPERATIONS.md, a job whose tasks crash executors, if a task is listed repeatedly",
    )
    EXECUTOR_LEFT = (
        567,
        logging.INFO,
        "executor departed while runs were there; departure says whether that was planned",
        "see OPERATIONS.md, a job whose tasks crash executors, if its task crashes executors",
    )
    CRASH_WEIGHED = (
        568,
        logging.INFO,
        "crash counted for a task under which several executors crashed",
        "nothing; decision says whether the task is given up",
    )
    CRASH_TAKEN_BACK = 566, logging.INFO, "crash of an executor retracted", "nothing"
    EXECUTOR_RESTARTED = (
        560,
        logging.WARNING,
        "executor restarted with the same id",
        "see OPERATIONS.md, an executor that starts again, if it does so often",
    )
    REPORT_PASSED_OVER = (
        561,
        logging.WARNING,
        "report of an executor ignored",
        "read the reason; if it lasts for seconds, check the executor's clock",
    )
    TASK_GIVEN_UP = (
        559,
        logging.WARNING,
        "task given up because executors crash under it",
        "have the caller check what the task runs; 558 lists the executors",
    )
    EXECUTOR_SPEED = (
        591,
        logging.INFO,
        "executor turned slow, or has recovered",
        "see OPERATIONS.md, slow executors, if it is always the same one",
    )
    EXECUTOR_SILENT = 543, logging.WARNING, "executor does not respond", "check the executor"
    EXECUTOR_BACK = 544, logging.INFO, "executor responds again", "nothing"
    EXECUTOR_DISTRUSTED = (
        545,
        logging.WARNING,
        "executor quarantined; it gets no new work",
        "check the executor",
    )
    LEASES_LAPSED = 546, logging.WARNING, "leases at a silent executor have expired", "nothing"
    METRICS_UNSERVED = (
        108,
        logging.WARNING,
        "metrics address could not be opened",
        ("use /metrics on the readiness address"),
    )
    SETTINGS_RELOADED = 107, logging.INFO, "settings reloaded", "nothing"
    SNAPSHOT = 441, logging.INFO, "ledger snapshot appended", "nothing"

    def __init__(self, number: int, level: int, text: str, remedy: str) -> None:
        self.number = number
        self.level = level
        self.text = text
        self.remedy = remedy


class EventLog(EventWriter[Event]):
    """Writes events of the catalogue as JSON lines.

    Args:
        daemon: Name of the daemon, which every line contains.
        level: Lowest level that is written.
        stream: Stream to write to, ``stderr`` or ``stdout``.
    """

    def __init__(self, daemon: str, *, level: str = "info", stream: str = "stderr") -> None:
        super().__init__(
            daemon, flood=Event.FLOOD, dropped=Event.LINES_DROPPED, level=level, stream=stream
        )


def catalogue() -> str:
    """Return the catalogue of events as a Markdown page."""
    lines = [
        "# Events",
        "",
        "Generated by `python -m linkspan.events`; CI checks that it is up to date.",
        "Every log line is one JSON object on standard error with the fields `event`",
        "(the number below), `kind`, `level`, `message`, `daemon`, `host` and `hall`.",
        "",
        "| number | kind | level | meaning | what to do |",
        "| --- | --- | --- | --- | --- |",
    ]
    for event in Event:
        level = logging.getLevelName(event.level).lower()
        lines.append(
            f"| {event.number} | {event.name.lower()} | {level} | {event.text} | {event.remedy} |"
        )
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(catalogue(), end="")
