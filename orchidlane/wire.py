"""Codec of the binary protocol that drives gateways over a pipe: frames to events, actions to replies.

A frame is a header, records of a fixed size and a tail to which the records refer by offset and length.
"""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass, field
from enum import IntEnum

from . import interface as api

FRAME_HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
EVENT_SIZE = 48
ACTION_SIZE = 24
SERVER_ENTRY = struct.Struct("<fB6sBQBH")

_START = struct.Struct("<HQII")
_SERVER_LIST = struct.Struct("<HII")
_SERVER_LISTED = struct.Struct("<HBHQ")
_REQUEST_ARRIVED = struct.Struct("<HIBHQIfffH")
_STOP = struct.Struct("<H")
_PROBE_ENDED = struct.Struct("<HIH6sB4f")
_CLIENT_GONE = struct.Struct("<HI")
_COUNTER_ANSWERED = struct.Struct("<HfIHQ")
_PEER_MESSAGE = struct.Struct("<HHII")
_STREAM_STARTED = struct.Struct("<HIH6sI")
_TIMER_FIRED = struct.Struct("<HQ")
_ATTEMPT_ENDED = struct.Struct("<HIH6sHIBHHB4f")

_SEND = struct.Struct("<BHI6sQ")
_CANCEL = struct.Struct("<BHIH")
_PROBE = struct.Struct("<BH6s")
_FETCH_LIST = struct.Struct("<BH")
_SET_TIMER = struct.Struct("<BHIQ")
_ERROR = struct.Struct("<BHII")
_FAIL = struct.Struct("<BHI")
_SEND_PEER_MESSAGE = struct.Struct("<BHHII")
_WATCH_LIST = struct.Struct("<BHB")
_REFUSE = struct.Struct("<BHII")

FLAG_REPEAT = 2


class EventCode(IntEnum):
    """First byte of a record in a frame."""

    TIMER_FIRED = 1
    PEER_MESSAGE = 2
    CLIENT_GONE = 3
    STREAM_STARTED = 4
    REQUEST_ARRIVED = 5
    ATTEMPT_ENDED = 6
    START = 7
    STOP = 8
    SERVER_LISTED = 9
    COUNTER_ANSWERED = 10
    PROBE_ENDED = 11
    SERVER_LIST = 12


class ActionCode(IntEnum):
    """First byte of a record in a reply."""

    SEND = 65
    REFUSE = 66
    FAIL = 67
    CANCEL = 68
    SET_TIMER = 69
    PROBE = 70
    SEND_PEER_MESSAGE = 72
    ERROR = 74
    WATCH_LIST = 75
    FETCH_LIST = 76


OUTCOMES = {
    100: api.Outcome.SERVED,
    301: api.Outcome.ERROR,
    302: api.Outcome.FULL,
    303: api.Outcome.TIMED_OUT,
    304: api.Outcome.NOT_CONNECTED,
    305: api.Outcome.BROKEN,
    306: api.Outcome.CANCELLED,
    307: api.Outcome.NEVER_SENT,
}
EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
REPORTS = {"inline": api.Reports.INLINE, "on_probe": api.Reports.ON_PROBE, "off": api.Reports.NONE}


class WireError(Exception):
    """The input violates the protocol."""


@dataclass(frozen=True, slots=True)
class Start:
    """A gateway starts."""

    settings: api.Settings
    seed: int


@dataclass(frozen=True, slots=True)
class Stop:
    """A gateway is terminated without notice."""


@dataclass(slots=True)
class Decoder:
    """Decodes frames; keeps the numbered server lists, each of which is sent once per process."""

    lists: dict[int, tuple[api.ServerEntry, ...]] = field(default_factory=dict)

    def decode_frame(self, count: int, body: bytes) -> list[tuple[int, Start | Stop | api.Event]]:
        """Return the events of one frame, each with the number of its gateway."""
        if len(body) < count * EVENT_SIZE:
            raise WireError(f"frame of {len(body)} bytes is too short for {count} records")
        tail = body[count * EVENT_SIZE :]
        events = []
        for i in range(count):
            offset = i * EVENT_SIZE
            code = body[offset]
            decoder = _DECODERS.get(code)
            if decoder is None:
                raise WireError(f"unknown record code {code}")
            event = decoder(self, body, offset + 1, tail)
            if event is not None:  # a SERVER_LIST record is kept, not returned
                events.append(event)
        return events


def _slice(tail: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError(f"offset {offset} with length {length} is outside the tail of {len(tail)} bytes")
    return tail[offset : offset + length]


def _outcome(code: int) -> api.Outcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome code {code}") from None


def _start(_: Decoder, body: bytes, start: int, tail: bytes):
    gateway, seed, offset, length = _START.unpack_from(body, start)
    return gateway, Start(parse_settings(_slice(tail, offset, length)), seed)


def _server_list(decoder: Decoder, body: bytes, start: int, tail: bytes) -> None:
    number, offset, count = _SERVER_LIST.unpack_from(body, start)
    raw = _slice(tail, offset, count * SERVER_ENTRY.size)
    entries = []
    for size, _kind, server, zone, launched, phase, cell in SERVER_ENTRY.iter_unpack(raw):
        if phase > 2:
            raise WireError(f"unknown phase {phase}")
        entries.append(api.ServerEntry(server, api.Phase(phase), zone, cell, launched, size))
    decoder.lists[number] = tuple(entries)


def _server_listed(decoder: Decoder, body: bytes, start: int, _: bytes):
    """Decode the event of a server list, whose entries came in an earlier SERVER_LIST record."""
    gateway, kind, number, version = _SERVER_LISTED.unpack_from(body, start)
    if kind > 3:
        raise WireError(f"unknown list kind {kind}")
    kind = api.ListKind(kind)
    if kind is api.ListKind.FAILED:
        return gateway, api.ServerListed(kind, version, ())
    if number not in decoder.lists:
        raise WireError(f"list {number} has not been sent")
    return gateway, api.ServerListed(kind, version, decoder.lists[number])


def _request_arrived(_: Decoder, body: bytes, start: int, __: bytes):
    gateway, request, kind, plan, customer, time_left, units, size, first, flags = (
        _REQUEST_ARRIVED.unpack_from(body, start)
    )
    return gateway, api.RequestArrived(
        request, customer, plan, kind, units, time_left, int(first), int(size), bool(flags & FLAG_REPEAT)
    )


def _stop(_: Decoder, body: bytes, start: int, __: bytes):
    return _STOP.unpack_from(body, start)[0], Stop()


def _probe_ended(_: Decoder, body: bytes, start: int, __: bytes):
    gateway, duration, outcome, server, report_size, *values = _PROBE_ENDED.unpack_from(body, start)
    return gateway, api.ProbeEnded(server, _outcome(outcome), duration, tuple(values[:report_size]))


def _client_gone(_: Decoder, body: bytes, start: int, __: bytes):
    gateway, request = _CLIENT_GONE.unpack_from(body, start)
    return gateway, api.ClientGone(request)


def _counter_answered(_: Decoder, body: bytes, start: int, __: bytes):
    gateway, value, duration, outcome, name = _COUNTER_ANSWERED.unpack_from(body, start)
    return gateway, api.CounterAnswered(name, _outcome(outcome), value, duration)


def _peer_message(_: Decoder, body: bytes, start: int, tail: bytes):
    gateway, sender, offset, length = _PEER_MESSAGE.unpack_from(body, start)
    return gateway, api.PeerMessage(sender, _slice(tail, offset, length))


def _stream_started(_: Decoder, body: bytes, start: int, __: bytes):
    gateway, request, attempt, server, duration = _STREAM_STARTED.unpack_from(body, start)
    return gateway, api.StreamStarted(request, attempt, server, duration)


def _timer_fired(_: Decoder, body: bytes, start: int, __: bytes):
    gateway, token = _TIMER_FIRED.unpack_from(body, start)
    return gateway, api.TimerFired(token)


def _attempt_ended(_: Decoder, body: bytes, start: int, __: bytes):
    fields = _ATTEMPT_ENDED.unpack_from(body, start)
    gateway, request, attempt, server, outcome, duration, answered, use, units, report_size, *values = fields
    return gateway, api.AttemptEnded(
        request,
        attempt,
        server,
        _outcome(outcome),
        duration,
        bool(answered),
        use,
        float(units),
        tuple(values[:report_size]),
    )


_DECODERS = {
    EventCode.TIMER_FIRED: _timer_fired,
    EventCode.PEER_MESSAGE: _peer_message,
    EventCode.CLIENT_GONE: _client_gone,
    EventCode.STREAM_STARTED: _stream_started,
    EventCode.REQUEST_ARRIVED: _request_arrived,
    EventCode.ATTEMPT_ENDED: _attempt_ended,
    EventCode.START: _start,
    EventCode.STOP: _stop,
    EventCode.SERVER_LISTED: _server_listed,
    EventCode.COUNTER_ANSWERED: _counter_answered,
    EventCode.PROBE_ENDED: _probe_ended,
    EventCode.SERVER_LIST: _server_list,
}


def parse_settings(raw: bytes) -> api.Settings:
    """Decode settings from JSON, ignoring unknown keys.

    Raises WireError for invalid JSON, a missing key or a value of the wrong type.
    """
    try:
        decoded = json.loads(raw)
    except ValueError:
        raise WireError("settings are not valid JSON") from None
    try:
        return _settings(decoded)
    except KeyError as missing:
        raise WireError(f"settings lack the key {missing.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise WireError(f"settings have a value of the wrong type: {error}") from None


def _settings(raw: dict) -> api.Settings:
    family, permissions, rules, charges, load_report = (
        raw["familyInfo"],
        raw["permissions"],
        raw["rules"],
        raw["charges"],
        raw["loadReport"],
    )
    return api.Settings(
        rank=int(raw["rank"]),
        gateways=int(raw["balancers"]),
        zone=int(raw["locality"]),
        classes=tuple(_request_class(c) for c in raw["classes"]),
        plans=tuple(_plan(p) for p in raw["packages"]),
        may_tell_peers=bool(permissions["peers"]),
        may_probe=bool(permissions["probes"]),
        may_cancel=bool(permissions["cancel"]),
        may_copy=bool(permissions["secondCopies"]),
        max_attempts=int(permissions["maxAttempts"]),
        max_retry_after=int(permissions["maxRetryAfter"]) if permissions["retryAfter"] else 0,
        peer_intake=float(family["peerIntake"]),
        peer_charge=float(charges["peer"]),
        probe_charge=float(charges["probe"]),
        waste_charge=float(charges["waste"]),
        cross_zone_charge=float(charges["crossZone"]),
        has_counter=bool(family["sharedCounter"]),
        asks_for_list=raw["discovery"] == "on_request",
        ask_within=int(rules["askWithin"]),
        reports=REPORTS[load_report["how"]],
        report_names=tuple(load_report["names"]),
        cold_from=float(rules["coldFrom"]),
        warm_within=int(rules["warmWithin"]),
        fall_multiple=float(rules["fallMultiple"]),
        overload_for=int(rules["overloadFor"]),
        drain_grace=int(rules["drainGrace"]),
    )


def _request_class(raw: dict) -> api.RequestClass:
    return api.RequestClass(
        target_latency=int(raw["target"]),
        deadline=int(raw["deadline"]),
        worth=float(raw["credit"]),
        late_worth=float(raw["lateWorth"]),
        effect=EFFECTS[raw["effect"]],
        group=api.Group(raw["group"]),
        dedup_window=int(raw["dedupWindow"]),
    )


def _plan(raw: dict) -> api.Plan:
    return api.Plan(
        rate=float(raw["perSecond"]),
        burst=float(raw["peakUnits"]),
        max_open=int(raw["open"]),
        price=float(raw["pays"]),
        beyond_earns=float(raw["beyondEarns"]),
        beyond_costs=float(raw["overrunCost"]),
        ceiling_rate=float(raw["hardRate"]),
        ceiling_burst=float(raw["capDepth"]),
        ceiling_slack=float(raw["capSlack"]),
    )


@dataclass(slots=True)
class Encoder:
    """Encodes the actions of one reply."""

    records: list[bytes] = field(default_factory=list)
    tail: bytearray = field(default_factory=bytearray)

    def add(self, gateway: int, action: api.Action) -> None:
        """Append an action of a gateway."""
        match action:
            case api.Send():
                raw = _SEND.pack(ActionCode.SEND, gateway, action.request, action.server, action.deadline)
            case api.Refuse():
                raw = _REFUSE.pack(ActionCode.REFUSE, gateway, action.request, action.retry_after)
            case api.Fail():
                raw = _FAIL.pack(ActionCode.FAIL, gateway, action.request)
            case api.Cancel():
                raw = _CANCEL.pack(ActionCode.CANCEL, gateway, action.request, action.attempt)
            case api.SetTimer():
                raw = _SET_TIMER.pack(ActionCode.SET_TIMER, gateway, action.delay, action.token)
            case api.Probe():
                raw = _PROBE.pack(ActionCode.PROBE, gateway, action.server)
            case api.SendPeerMessage():
                raw = _SEND_PEER_MESSAGE.pack(
                    ActionCode.SEND_PEER_MESSAGE, gateway, action.peer, *self._append_tail(action.body)
                )
            case api.WatchList():
                raw = _WATCH_LIST.pack(ActionCode.WATCH_LIST, gateway, 1)
            case api.FetchList():
                raw = _FETCH_LIST.pack(ActionCode.FETCH_LIST, gateway)
            case _:
                raise TypeError(f"the protocol has no record for {action!r}")
        self.records.append(raw.ljust(ACTION_SIZE, b"\0"))

    def add_error(self, gateway: int, text: str) -> None:
        """Append the error with which a gateway failed."""
        self.records.append(
            _ERROR.pack(ActionCode.ERROR, gateway, *self._append_tail(text.encode())).ljust(
                ACTION_SIZE, b"\0"
            )
        )

    def reply(self) -> bytes:
        """Return the complete reply frame."""
        body = b"".join(self.records) + self.tail
        return REPLY_HEADER.pack(len(self.records), len(body)) + body

    def _append_tail(self, body: bytes) -> tuple[int, int]:
        """Append bytes to the tail. Return their offset and length."""
        offset = len(self.tail)
        self.tail += body
        return offset, len(body)
