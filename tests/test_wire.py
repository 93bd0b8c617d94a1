"""The binary protocol: byte layouts, malformed input, the process that serves it."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from orchidlane import interface as api
from orchidlane import wire, wirehost

ROOT = Path(__file__).parent.parent

SETTINGS = {
    "balancers": 3,
    "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
    "classes": [
        {
            "credit": 1.0,
            "deadline": 2000000,
            "dedupWindow": 5000000,
            "effect": "repeatable",
            "group": "all",
            "lateWorth": 0.0,
            "target": 500000,
        }
    ],
    "discovery": "pushed",
    "familyInfo": {"peerIntake": 40.0, "sharedCounter": False},
    "loadReport": {"how": "off", "names": []},
    "locality": 0,
    "packages": [
        {
            "beyondEarns": 0.0,
            "capDepth": 0.0,
            "capSlack": 0.0,
            "hardRate": 0.0,
            "open": 0,
            "overrunCost": 1.0,
            "pays": 1.0,
            "peakUnits": 8.0,
            "perSecond": 2.0,
        }
    ],
    "permissions": {
        "cancel": True,
        "maxAttempts": 4,
        "maxRetryAfter": 1000000,
        "peers": True,
        "probes": True,
        "retryAfter": True,
        "secondCopies": True,
    },
    "rank": 0,
    "rules": {
        "askWithin": 10000000,
        "coldFrom": 0.25,
        "drainGrace": 1000000,
        "fallMultiple": 3.0,
        "overloadFor": 3000000,
        "warmWithin": 18000000,
    },
}

HOST = bytes.fromhex("0a124a072b23")


def record(text: str, size: int = wire.EVENT_SIZE) -> bytes:
    """Return a record given in hexadecimal, padded with zeros."""
    return bytes.fromhex(text.replace(" ", "")).ljust(size, b"\0")


def decode(*records: bytes, tail: bytes = b""):
    """Return the events of one frame."""
    return wire.Decoder().decode_frame(len(records), b"".join(records) + tail)


def encode(*actions: api.Action) -> bytes:
    """Return the bytes of the reply after its header."""
    encoder = wire.Encoder()
    for action in actions:
        encoder.add(3, action)
    return encoder.reply()[8:]


def frame(*records: bytes, tail: bytes = b"", now: int = 1) -> bytes:
    """Return an input frame."""
    body = b"".join(records) + tail
    return struct.pack("<IIQ", len(records), len(body), now) + body


def start_record(gateway: int, settings: dict, offset: int = 0, seed: int = 5) -> tuple[bytes, bytes]:
    """Return a start record, and the settings for the tail."""
    text = json.dumps(settings).encode()
    return struct.pack("<BHQII", 7, gateway, seed, offset, len(text)).ljust(48, b"\0"), text


def serve(*frames: bytes) -> bytes:
    """Return all replies of the process."""
    sink = io.BytesIO()
    wirehost.serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_an_empty_frame_has_an_empty_reply():
    assert serve(bytes.fromhex("00000000000000005a5c800000000000")) == bytes(8)


def test_events_are_decoded():
    request_arrived = record(
        "05 0300 c4913a5d 00 0000 640ad2557c3bf091 80a90300 00000040 00004040 0000803f 0100"
    )
    timer_fired = record("01 0300 4d00000000000000")
    client_gone = record("03 0500 192b6f0e")
    attempt_ended = record(
        "06 0300 c4913a5d 0000 0a124a07 2b23 6400 44480000 01 5600 0300 0352b81e3f 00006841 0000e040 00000000"
    )
    counter_answered = record("0a 0300 00001842 66080000 6400 90f6890000000000")
    events = decode(request_arrived, timer_fired, client_gone, attempt_ended, counter_answered)
    assert events[0] == (
        3,
        api.RequestArrived(0x5D3A91C4, 0x91F03B7C55D20A64, 0, 0, 2.0, 240000, 1, 3, False),
    )
    assert events[1] == (3, api.TimerFired(77))
    assert events[2] == (5, api.ClientGone(0x0E6F2B19))
    attempt = events[3][1]
    assert attempt.server == HOST
    assert (attempt.request, attempt.attempt, attempt.duration) == (0x5D3A91C4, 0, 18500)
    assert (attempt.outcome, attempt.answered, attempt.use) == (api.Outcome.SERVED, True, 0x56)
    assert attempt.true_units == 3.0
    assert attempt.report == pytest.approx((0.62, 14.5, 7.0))
    assert events[4] == (3, api.CounterAnswered(0x89F690, api.Outcome.SERVED, 38.0, 0x866))


def test_a_server_list_is_decoded():
    tail = bytes.fromhex(
        "0000803f000a124a072b2300000000000000000001000000"[:46]
        + "0000c03f 00 0a9011f2 5423 01 20145d0000000000 01 0000".replace(" ", "")
    )
    events = decode(
        record("0c 0000 00000000 02000000"), record("09 0300 02 0000 2900000000000000"), tail=tail
    )
    listed = events[0][1]
    assert (listed.kind, listed.version, len(listed.entries)) == (api.ListKind.CACHED, 41, 2)
    assert listed.entries[0] == api.ServerEntry(HOST, api.Phase.READY, 0, 0, 0, 1.0)
    assert listed.entries[1].launched == 0x5D1420
    assert (listed.entries[1].zone, listed.entries[1].size) == (1, 1.5)


def test_actions_are_encoded():
    send = api.Send(0x5D3A91C4, HOST, 0x8194DA)
    assert encode(send) == record("41 0300 c4913a5d 0a124a07 2b23 da94810000000000", 24)
    assert encode(api.SetTimer(0x07A120, 77)) == record("45 0300 20a10700 4d00000000000000", 24)
    peer_message = encode(api.SendPeerMessage(0xFFFF, bytes.fromhex("68692037")))
    assert peer_message == record("48 0300 ffff 00000000 04000000", 24) + b"hi 7"
    assert encode(api.Refuse(7, 9)) == record("42 0300 07000000 09000000", 24)
    assert encode(api.Fail(7)) == record("43 0300 07000000", 24)
    assert encode(api.Cancel(7, 2)) == record("44 0300 07000000 0200", 24)
    assert encode(api.Probe(HOST)) == record("46 0300 0a124a07 2b23", 24)
    assert encode(api.WatchList()) == record("4b 0300 01", 24)
    assert encode(api.FetchList()) == record("4c 0300", 24)


def test_gateways_in_one_process_act_as_in_separate_processes():
    first, text = start_record(1, SETTINGS)
    second, _ = start_record(2, SETTINGS, seed=6)
    requests = [
        struct.pack("<BHIBHQIfffH", 5, gateway, i, 0, 0, i % 3, 900000, 1.0, 3.0, 0.0, 0).ljust(48, b"\0")
        for i in range(20)
        for gateway in (1, 2)
    ]
    together = serve(frame(first, second, tail=text), frame(*requests, now=9))
    separate = [
        serve(
            frame(start, tail=text), frame(*(request for request in requests if request[1] == gateway), now=9)
        )
        for gateway, start in ((1, first), (2, second))
    ]

    def records(reply: bytes, gateway: int) -> list[bytes]:
        records_found, offset = [], 0
        while offset < len(reply):
            count, length = struct.unpack_from("<II", reply, offset)
            records_found += [reply[offset + 8 + 24 * i : offset + 32 + 24 * i] for i in range(count)]
            offset += 8 + length
        return [r for r in records_found if r[1] == gateway]

    assert records(separate[0], 1) == records(together, 1) != []
    assert records(separate[1], 2) == records(together, 2) != []


def without(*path: str) -> dict:
    """Return the settings without the key at this path."""
    settings = json.loads(json.dumps(SETTINGS))
    inner = settings
    for key in path[:-1]:
        inner = inner[key]
    del inner[path[-1]]
    return settings


MALFORMED_INPUT = {
    "a truncated header": b"\1\0\0",
    "a truncated frame": frame(record("01 0300"))[:-3],
    "too few records": struct.pack("<IIQ", 2, 48, 1) + bytes(48),
    "an unknown record": frame(record("63 0300")),
    "an offset outside the tail": frame(record("02 0300 0100 10000000 10000000")),
    "an unknown outcome": frame(record("06 0300 c4913a5d 0000 0a124a07 2b23 0900")),
    "a list that was not sent": frame(record("09 0300 01 0400")),
    "a gateway that was not started": frame(record("01 0300")),
    "settings that are not JSON": frame(struct.pack("<BHQII", 7, 1, 1, 0, 3).ljust(48, b"\0"), tail=b"{x}"),
    "settings that are not an object": frame(
        struct.pack("<BHQII", 7, 1, 1, 0, 2).ljust(48, b"\0"), tail=b"[]"
    ),
    "settings without a key": frame(
        start_record(1, without("rules", "coldFrom"))[0], tail=start_record(1, without("rules"))[1]
    ),
}


@pytest.mark.parametrize("malformed", MALFORMED_INPUT.values(), ids=MALFORMED_INPUT.keys())
def test_malformed_input_ends_the_process_with_a_one_line_message(malformed):
    done = subprocess.run(
        [sys.executable, "-m", "orchidlane.wirehost"],
        input=malformed,
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode != 0
    assert done.stdout == b""
    assert done.stderr.count(b"\n") == 1
    assert b"Traceback" not in done.stderr


@pytest.mark.parametrize("path", [("rank",), ("rules", "coldFrom"), ("familyInfo", "peerIntake")])
def test_a_missing_key_is_named(path):
    with pytest.raises(wire.WireError, match=path[-1]):
        wire.parse_settings(json.dumps(without(*path)).encode())


def test_unknown_keys_are_ignored():
    extended = {**SETTINGS, "new": 1, "rules": {**SETTINGS["rules"], "newer": 2}}
    assert wire.parse_settings(json.dumps(extended).encode()) == wire.parse_settings(
        json.dumps(SETTINGS).encode()
    )


def test_an_error_of_a_gateway_is_reported_as_a_record(monkeypatch):
    start, text = start_record(1, SETTINGS)

    def failing_handle(*_):
        raise RuntimeError("no such thing")

    monkeypatch.setattr(wirehost.Gateway, "handle", failing_handle)
    reply = serve(frame(start, tail=text), frame(record("01 0100")))
    assert b"RuntimeError: no such thing" in reply
    assert reply[-24 - len("RuntimeError: no such thing")] == 74


def test_a_stopped_gateway_may_start_again_in_the_same_frame():
    start, text = start_record(1, SETTINGS)
    reply = serve(frame(start, record("08 0100"), start, tail=text))
    assert struct.unpack_from("<I", reply)[0] == 2
