"""Ports on loopback for what is started next, chosen where the system gives none away by itself."""

from __future__ import annotations

import random
import socket
from pathlib import Path

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
LEAST = 10_000
draw = random.SystemRandom()


def below() -> int:
    """The first port that the system may give to outgoing connections: one from there on could be taken
    between the choice and its use by any connection on this machine."""
    try:
        first = int(RANGE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        first = 32_768
    return first if first > LEAST + 1_000 else 65_536


def free(count: int) -> list[int]:
    """So many different ports that nobody listens at now, for TCP nor UDP."""
    found: list[int] = []
    end = below()
    while len(found) < count:
        port = draw.randrange(LEAST, end)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
