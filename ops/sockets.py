"""Tells of a connection what is unread, unsent or not received, and whether the other side has ended it."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios

QUEUE_SIZE = struct.Struct("i")  # what TIOCOUTQ and FIONREAD return
LINGER = struct.Struct("ii")  # on or off, seconds


def unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many written bytes the other side has not acknowledged, in this process and in the kernel.

    The process's own buffer alone says little: the kernel takes megabytes of it at once, and then nothing
    until a third of its own buffer is free again, however steadily the other side reads.
    """
    return transport.get_write_buffer_size() + _kernel_queue_size(transport.get_extra_info("socket"))


def _kernel_queue_size(sock: socket.socket) -> int:
    return _ask_size(sock, termios.TIOCOUTQ)


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how much input the socket holds."""
    return _ask_size(transport.get_extra_info("socket"), termios.FIONREAD)


def _ask_size(sock: socket.socket, request: int) -> int:
    """Return the size of one of the socket's queues; 0 where it is closed or the kernel does not tell."""
    try:
        reply = fcntl.ioctl(sock.fileno(), request, bytes(QUEUE_SIZE.size))
    except (OSError, ValueError):
        return 0
    return int(QUEUE_SIZE.unpack(reply)[0])


def has_ended(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other side has closed or reset the connection, even behind unread input."""
    return _polls_as(transport, select.POLLRDHUP)


def has_input_or_ended(transport: asyncio.BaseTransport) -> bool:
    """Return whether there is anything to read, an end included."""
    return _polls_as(transport, select.POLLIN | select.POLLRDHUP)


def _polls_as(transport: asyncio.BaseTransport, events: int) -> bool:
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poller.poll(0))


def reset_connection(transport: asyncio.Transport) -> None:
    """Close a connection so that the kernel drops what it has not sent, instead of sending it later."""
    if _kernel_queue_size(transport.get_extra_info("socket")):
        with contextlib.suppress(OSError):
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER.pack(1, 0))
    transport.abort()


class DeliveryWatch:
    """Follows how far the other side of a connection has received what was written."""

    def __init__(self) -> None:
        self.written = 0  # bytes, to be added to with each write
        self.is_ended = False  # the end of the stream was written, which the kernel counts as a byte
        self.acknowledged = 0  # bytes, at the last look

    def undelivered(self, transport: asyncio.WriteTransport) -> int:
        """Return the bytes that the other side has not received, without the end of the stream."""
        return max(0, unacknowledged_bytes(transport) - self.is_ended)

    def has_progressed(self, transport: asyncio.WriteTransport) -> bool:
        """Return whether the other side has received more since the last look."""
        acknowledged_before = self.acknowledged
        self.acknowledged = max(acknowledged_before, self.written - self.undelivered(transport))
        return self.acknowledged > acknowledged_before
