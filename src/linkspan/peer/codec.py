"""Encoding of peer messages as packed Cap'n Proto."""

from __future__ import annotations

from typing import Any

from linkspan._capnp_schema import load_schema
from linkspan.config.store import ConfigState, decode_config, encode_state
from linkspan.errors import BadFrame
from linkspan.ledger.codec import job_from_json, job_to_json
from linkspan.peer.messages import (
    Answer,
    Ask,
    Cancel,
    ConfigAnswer,
    Envelope,
    Explain,
    FetchConfig,
    Heard,
    Heartbeat,
    Submit,
)

TRAVERSAL_LIMIT_WORDS = 1024 * 1024
"""Limit on the words read per message; protects against crafted pointers."""


def _schema() -> Any:
    return load_schema(__file__, "peer.capnp")


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope."""
    target = _schema().Envelope.new_message()
    target.request = envelope.request
    match envelope.message:
        case Heartbeat() as heartbeat:
            _write_heartbeat(target.init("heartbeat"), heartbeat)
        case Submit(spec):
            target.submit = job_to_json(spec)
        case Cancel(job_id):
            target.cancel = job_id
        case Ask(job_id):
            target.ask = job_id
        case Explain(job_id):
            target.explain = job_id
        case FetchConfig():
            target.fetchConfig = None
        case ConfigAnswer(state):
            target.config = encode_state(state)
        case Answer(status=status, body=body):
            answer = target.init("answer")
            answer.status, answer.body = status, body
    body_bytes: bytes = target.to_bytes_packed()
    return body_bytes


def decode(body: bytes) -> Envelope:
    """Decode an envelope.

    Raises:
        BadFrame: The bytes are not a valid message.
    """
    try:
        message = _schema().Envelope.from_bytes_packed(
            body, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        return _read(message)
    except Exception as error:  # pycapnp, orjson and the message constructors raise different types
        raise BadFrame(f"not a valid message: {error!r}; the connection is closed") from error


def _write_heartbeat(target: Any, heartbeat: Heartbeat) -> None:
    target.name, target.role, target.hall = heartbeat.name, heartbeat.role, heartbeat.hall
    target.address = heartbeat.address
    target.applied, target.config = heartbeat.applied, heartbeat.config
    target.unfit = list(heartbeat.unfit)
    target.members = list(heartbeat.members)
    for slot, heard in zip(
        target.init("heard", len(heartbeat.heard)), heartbeat.heard, strict=True
    ):
        slot.name, slot.division = heard
    target.inFlight, target.draining = heartbeat.in_flight, heartbeat.draining
    target.callers, target.serves = heartbeat.callers, list(heartbeat.serves)


def _read_heartbeat(body: Any) -> Heartbeat:
    return Heartbeat(
        name=body.name,
        role=body.role,
        hall=body.hall,
        address=body.address,
        applied=body.applied,
        config=body.config,
        unfit=tuple(body.unfit),
        members=tuple(body.members),
        heard=tuple(Heard(h.name, h.division) for h in body.heard),
        in_flight=body.inFlight,
        draining=body.draining,
        callers=body.callers,
        serves=tuple(body.serves),
    )


def _read(message: Any) -> Envelope:
    request = message.request
    match str(message.which()):
        case "heartbeat":
            return Envelope(request, _read_heartbeat(message.heartbeat))
        case "submit":
            return Envelope(request, Submit(job_from_json(message.submit)))
        case "cancel":
            return Envelope(request, Cancel(message.cancel))
        case "ask":
            return Envelope(request, Ask(message.ask))
        case "explain":
            return Envelope(request, Explain(message.explain))
        case "fetchConfig":
            return Envelope(request, FetchConfig())
        case "config":
            state = decode_config(message.config)
            if not isinstance(state, ConfigState):
                raise BadFrame("the config message contains a change in place of a state")
            return Envelope(request, ConfigAnswer(state))
        case "answer":
            answer = Answer(message.answer.status, bytes(message.answer.body))
            return Envelope(request, answer)
        case other:
            raise BadFrame(f"unknown message type {other!r}")
