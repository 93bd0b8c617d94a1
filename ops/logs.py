"""Structured logging: an event name and typed fields per line, as logfmt or JSON, limited in rate and length.

A program calls ``configure`` at start; modules use ``log = logs.get_logger(__name__)`` and, for example,
``log.warning("discovery_refused", status=503)``. ``docs/logging.md`` lists the events.
"""

from __future__ import annotations

import contextlib
import logging
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO, cast

import structlog

LINES_PER_SECOND = 20.0  # sustained rate limit
BURST_LINES = 200  # lines that may be written at once
FIELD_LENGTH_MAX = 400  # characters
LIST_LENGTH_MAX = 1_200  # characters of all items: a pipe takes a line of 4,096 bytes in one piece
FORMATS = ("text", "json")
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
# Field of an event that is exempt from the rate limit, as a flood of lines must not suppress the periodic
# stats. It is not written to the log.
UNLIMITED = "figures"

Event = MutableMapping[str, Any]


class RateLimiter:
    """A token bucket for log lines. The next line that passes reports how many were suppressed before it."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.tokens = float(BURST_LINES)
        self.refilled_at = clock()
        self.suppressed = 0  # since the last line that was written
        self.suppressed_total = 0  # since the start

    def __call__(self, logger: Any, method: str, event: Event) -> Event:
        """Process an event for structlog; raises DropEvent if the rate limit is exceeded."""
        now = self.clock()
        self.tokens = min(BURST_LINES, self.tokens + LINES_PER_SECOND * (now - self.refilled_at))
        self.refilled_at = now
        if not event.pop(UNLIMITED, False):
            if self.tokens < 1:
                self.suppressed += 1
                self.suppressed_total += 1
                raise structlog.DropEvent
            self.tokens -= 1
        if self.suppressed:
            event["lines_kept_back"] = self.suppressed
            self.suppressed = 0
        return event


rate_limiter = RateLimiter()


class Sink:
    """The output stream of the log.

    A write error, such as a closed pipe or a full disk, must not stop the program: the line counts as
    suppressed.
    """

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream

    def write(self, text: str) -> None:
        """Write a line."""
        try:
            self.stream.write(text)
        except (OSError, ValueError):  # ValueError: the stream is closed
            rate_limiter.suppressed += 1
            rate_limiter.suppressed_total += 1

    def flush(self) -> None:
        """Flush the stream; errors are ignored."""
        with contextlib.suppress(OSError, ValueError):
            self.stream.flush()


def _normalize_fields(logger: Any, method: str, event: Event) -> Event:
    """Convert fields to values that can be written, strings to one line of limited length.

    Values may come from outside and contain anything.
    """
    for name, value in event.items():
        if isinstance(value, bytes):
            value = value.decode("utf-8", "backslashreplace")
        elif isinstance(value, tuple):  # an address, or a list of values
            value = "{}:{}".format(*value) if len(value) == 2 and isinstance(value[1], int) else list(value)
        elif isinstance(value, BaseException):
            value = f"{type(value).__name__}: {value}"
        elif value is not None and not isinstance(value, str | int | float | bool | list | dict):
            value = str(value)
        if isinstance(value, str) and name != "exception":
            value = " ".join(value.split())
            if len(value) > FIELD_LENGTH_MAX:
                value = f"{value[:FIELD_LENGTH_MAX]}... ({len(value)} characters)"
        elif isinstance(value, list):
            value = _shorten_list(value)
        event[name] = value
    return event


def _shorten_list(items: list[Any]) -> list[Any]:
    """Return as many of the items as may be written, and how many there are if that is not all of them."""
    length = 0
    for index, item in enumerate(items):
        length += len(str(item)) + 1
        if length > LIST_LENGTH_MAX:
            return [*items[:index], f"... ({len(items)} in all)"]
    return items


def _join_lists(logger: Any, method: str, event: Event) -> Event:
    """Join lists with commas, for logfmt."""
    return {k: ",".join(map(str, v)) if isinstance(v, list) else v for k, v in event.items()}


class LibraryHandler(logging.Handler):
    """Writes records of the standard ``logging`` module in the same format and with the same rate limit."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the record as the event ``library_said``."""
        try:
            fields: Event = {"library": record.name, "message": record.getMessage()}
        except (TypeError, ValueError):  # arguments that do not match the format string
            fields = {"library": record.name, "message": str(record.msg)}
        if record.exc_info:
            fields["exc_info"] = record.exc_info
        get_logger(record.name).log(max(record.levelno, 10), "library_said", **fields)


def configure(form: str = "text", level: str = "info", stream: TextIO | None = None) -> None:
    """Set the format (one of FORMATS), the minimum level (one of LEVELS) and the stream, by default stderr.

    It may be called again to change them.
    """
    if form not in FORMATS or level not in LEVELS:
        raise ValueError(f"log form must be one of {', '.join(FORMATS)}, level one of {', '.join(LEVELS)}")
    render: list[Any] = [structlog.processors.JSONRenderer()]
    if form == "text":
        order = ["timestamp", "level", "event"]
        render = [_join_lists, structlog.processors.LogfmtRenderer(key_order=order, bool_as_flag=False)]
    structlog.configure(
        processors=[
            rate_limiter,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _normalize_fields,
            *render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(cast(TextIO, Sink(stream or sys.stderr))),
        cache_logger_on_first_use=False,
    )
    root = logging.getLogger()
    for handler in [h for h in root.handlers if isinstance(h, LibraryHandler)]:
        root.removeHandler(handler)
    root.addHandler(LibraryHandler())
    root.setLevel(max(LEVELS[level], logging.WARNING))


def get_logger(name: str) -> Any:
    """Return a module's logger; ``name`` is not written to the log."""
    return structlog.get_logger(name)
