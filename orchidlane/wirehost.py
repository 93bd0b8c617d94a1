"""Process that runs gateways for a parent process, over the binary protocol of ``wire.py``.

It reads frames from standard input and writes one reply per frame to standard output, flushed at once. It can
run many gateways, which share no state.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from . import interface as api
from . import wire
from .rules import Gateway


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise wire.WireError(f"input ended inside a frame: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to frames until the input ends."""
    decoder = wire.Decoder()
    gateways: dict[int, Gateway] = {}
    while first := source.read(1):
        header = first + _read_exactly(source, wire.FRAME_HEADER.size - 1)
        count, length, now = wire.FRAME_HEADER.unpack(header)
        encoder = wire.Encoder()
        for number, event in decoder.decode_frame(count, _read_exactly(source, length)):
            if isinstance(event, wire.Stop):
                gateways.pop(number, None)
                continue
            if not isinstance(event, wire.Start) and number not in gateways:
                raise wire.WireError(f"event for gateway {number}, which was not started")
            try:
                actions = _handle(gateways, number, event, now)
            except Exception as error:  # the protocol reports every error of a gateway as a record
                encoder.add_error(number, f"{type(error).__name__}: {error}")
                continue
            for action in actions:
                encoder.add(number, action)
        sink.write(encoder.reply())
        sink.flush()


def _handle(
    gateways: dict[int, Gateway], number: int, event: wire.Start | api.Event, now: int
) -> list[api.Action]:
    if isinstance(event, wire.Start):
        gateways[number] = Gateway(event.settings, event.seed, now)
        return gateways[number].start()
    return gateways[number].handle(now, event)


def main() -> int:
    """Serve standard input and output. Invalid input ends it with a one-line message and exit status 1."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"orchidlane: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
