"""The versioned configuration, computed from the records of the operators' stream.

Every host applies the same records in the same order, so all reach the same versions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import orjson

from linkspan.config.validate import errors_in
from linkspan.errors import RecordError

if TYPE_CHECKING:
    from linkspan.config.document import Document

CONFIG_STREAM = "config"
"""Name of the stream in the platform's log."""

MAX_REMEMBERED_RESULTS = 1_024
"""Maximum number of change results kept for :meth:`ConfigStore.result_of`."""

MAX_REMEMBERED_CHANGE_IDS = 256
"""Maximum number of accepted changes whose ids are part of the state, so that a repeated change
is not applied twice."""


@dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator submits.

    Attributes:
        change_id: The operator's id; submissions with the same id are one change.
        base: Version that the change is based on.
        author: Author of the change.
        values: New values by key.
        deleted: Keys to remove.
    """

    change_id: str
    base: int
    author: str
    values: dict[str, Any] = field(default_factory=dict)
    deleted: tuple[str, ...] = ()

    @property
    def touched(self) -> frozenset[str]:
        """The keys that the change sets or removes."""
        return frozenset(self.values).union(self.deleted)


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The result of applying a change.

    Attributes:
        accepted: Whether the change is in force from ``version`` on.
        version: The version that the change created, or the version in force when it was refused.
        reason: Why the change was refused.
        conflicts: Keys that another change has set or removed since the base version.
    """

    accepted: bool
    version: int
    reason: str = ""
    conflicts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigState:
    """A version of the configuration.

    Attributes:
        version: One more than the offset of the record that created the version, so
            that versions only increase; 0 before the first.
        document: The values by key.
        key_versions: The version that last changed each key, including removed keys.
        recent: The version that each of the latest accepted changes created, by change id.
    """

    version: int = 0
    document: Document = field(default_factory=lambda: MappingProxyType({}))
    key_versions: dict[str, int] = field(default_factory=dict)
    recent: dict[str, int] = field(default_factory=dict)


class ConfigStore:
    """The configuration in force, whose version never decreases.

    Records of the stream and complete states from peers or snapshot records update it; a state
    that is not newer than the one in force is ignored.
    """

    def __init__(self) -> None:
        self._state = ConfigState()
        self._results: dict[str, ChangeResult] = {}
        self.next_offset = 0

    def __repr__(self) -> str:
        return f"ConfigStore(version={self.version}, keys={len(self._state.document)})"

    @property
    def state(self) -> ConfigState:
        """The state in force."""
        return self._state

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self._state.version

    def result_of(self, change_id: str) -> ChangeResult | None:
        """Return the result of a change, or None if it is unknown here."""
        return self._results.get(change_id)

    def adopt(self, state: ConfigState) -> bool:
        """Replace the state by one from a peer or snapshot if that is newer.

        Returns:
            Whether the given state was newer.
        """
        if state.version <= self.version:
            return False
        self._state = state
        self.next_offset = max(self.next_offset, state.version)
        return True

    def apply(self, offset: int, body: bytes) -> ChangeResult | None:
        """Apply the record at ``offset``.

        Returns:
            The result of the change, None if the record holds no new change.
        """
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        try:
            record = decode_config(body)
        except RecordError:
            return None
        if isinstance(record, ConfigState):
            self.adopt(record)
            return None
        result = self._decide(offset, record)
        self._results[record.change_id] = result
        while len(self._results) > MAX_REMEMBERED_RESULTS:
            del self._results[next(iter(self._results))]
        return result

    def _decide(self, offset: int, change: Change) -> ChangeResult:
        state = self._state
        if change.change_id in state.recent:
            return ChangeResult(True, state.recent[change.change_id])
        conflicts = sorted(k for k in change.touched if state.key_versions.get(k, 0) > change.base)
        if conflicts:
            reason = (
                f"changed since version {change.base}; read these keys and submit the change again"
            )
            return ChangeResult(False, self.version, reason, tuple(conflicts))
        document = apply_change(state.document, change)
        errors = errors_in(document)
        if errors:
            return ChangeResult(False, self.version, f"{errors[0].key}: {errors[0].text}")
        version = offset + 1
        key_versions = {**state.key_versions, **dict.fromkeys(change.touched, version)}
        recent = {**state.recent, change.change_id: version}
        if len(recent) > MAX_REMEMBERED_CHANGE_IDS:
            del recent[next(iter(recent))]
        self._state = ConfigState(version, MappingProxyType(document), key_versions, recent)
        return ChangeResult(True, version)


def apply_change(document: Document, change: Change) -> dict[str, Any]:
    """Return a copy of the document with the change applied."""
    values = {**document, **change.values}
    for key in change.deleted:
        values.pop(key, None)
    return values


def encode_change(change: Change) -> bytes:
    """Encode a change as a record of the log."""
    return orjson.dumps({"change": change})


def encode_state(state: ConfigState) -> bytes:
    """Encode a state for peers and for snapshot records of the log."""
    return orjson.dumps(
        {
            "state": {
                "version": state.version,
                "document": dict(state.document),
                "key_versions": state.key_versions,
                "recent": state.recent,
            }
        }
    )


def decode_config(body: bytes) -> Change | ConfigState:
    """Decode a record of the configuration stream.

    Raises:
        RecordError: The record holds neither a change nor a state.
    """
    try:
        fields = orjson.loads(body)
        if "state" in fields:
            state = fields["state"]
            document = MappingProxyType(dict(state["document"]))
            return ConfigState(
                int(state["version"]), document, dict(state["key_versions"]), dict(state["recent"])
            )
        change = fields["change"]
        return Change(
            str(change["change_id"]),
            int(change["base"]),
            str(change["author"]),
            dict(change["values"]),
            tuple(map(str, change["deleted"])),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"not a configuration record: {error!r}") from error
