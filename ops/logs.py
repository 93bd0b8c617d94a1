"""Structured logging: one event name and typed fields a line, as logfmt or JSON, bounded under any input.

``configure`` is called once by a program; modules take ``log = logs.get_logger(__name__)`` and write
``log.warning("discovery_refused", status=503)``. The names are listed in ``docs/logging.md``.
"""

from __future__ import annotations

import contextlib
import logging
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO, cast

import structlog

LINES_PER_SECOND = 20.0  # in a second, on average, at most
BURST_LINES = 200  # lines at once
FIELD_LENGTH_MAX = 400  # characters of one field
FORMATS = ("text", "json")
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
UNLIMITED = "figures"  # the field of an event whose own pace bounds it: a flood must not hide the figures

Event = MutableMapping[str, Any]


class RateLimiter:
    """Lets so many lines through. The next one that passes tells how many were kept back before it."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock, self.tokens, self.refilled_at = clock, float(BURST_LINES), clock()
        self.suppressed = 0  # since the last line that passed
        self.suppressed_total = 0  # since the start

    def __call__(self, logger: Any, method: str, event: Event) -> Event:
        """A processor of structlog: raises DropEvent where there is no room."""
        now = self.clock()
        self.tokens, self.refilled_at = (
            min(BURST_LINES, self.tokens + LINES_PER_SECOND * (now - self.refilled_at)),
            now,
        )
        if not event.pop(UNLIMITED, False):
            if self.tokens < 1:
                self.suppressed += 1
                self.suppressed_total += 1
                raise structlog.DropEvent
            self.tokens -= 1
        if self.suppressed:
            event["lines_kept_back"], self.suppressed = self.suppressed, 0
        return event


rate_limiter = RateLimiter()


class Sink:
    """Where lines go. A log that can't be written (a closed pipe, a full disk) must not stop what writes it:
    such lines count as kept back."""

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream

    def write(self, text: str) -> None:
        """One line."""
        try:
            self.stream.write(text)
        except (OSError, ValueError):  # ValueError: it is closed
            rate_limiter.suppressed += 1
            rate_limiter.suppressed_total += 1

    def flush(self) -> None:
        """To the last byte."""
        with contextlib.suppress(OSError, ValueError):
            self.stream.flush()


def _cut(logger: Any, method: str, event: Event) -> Event:
    """Fields as text or numbers, each on one line and of bounded length: what comes from outside may be
    anything."""
    for name, value in event.items():
        if isinstance(value, bytes):
            value = value.decode("utf-8", "backslashreplace")
        elif isinstance(value, tuple):  # an address, or several values
            value = "{}:{}".format(*value) if len(value) == 2 and isinstance(value[1], int) else list(value)
        elif isinstance(value, BaseException):
            value = f"{type(value).__name__}: {value}"
        elif value is not None and not isinstance(value, str | int | float | bool | list | dict):
            value = str(value)
        if isinstance(value, str) and name != "exception":
            value = " ".join(value.split())
            if len(value) > FIELD_LENGTH_MAX:
                value = f"{value[:FIELD_LENGTH_MAX]}... ({len(value)} characters)"
        event[name] = value
    return event


def _flat(logger: Any, method: str, event: Event) -> Event:
    """For logfmt: a list as words with commas between."""
    return {k: ",".join(map(str, v)) if isinstance(v, list) else v for k, v in event.items()}


class LibraryHandler(logging.Handler):
    """What libraries write through the standard library's logging: the same form, the same bound."""

    def emit(self, record: logging.LogRecord) -> None:
        """One event, ``library_said``."""
        try:
            fields: Event = {"library": record.name, "message": record.getMessage()}
        except (TypeError, ValueError):  # a library's arguments that don't fit to its text
            fields = {"library": record.name, "message": str(record.msg)}
        if record.exc_info:
            fields["exc_info"] = record.exc_info
        get_logger(record.name).log(max(record.levelno, 10), "library_said", **fields)


def configure(form: str = "text", level: str = "info", stream: TextIO | None = None) -> None:
    """Write from now on in this form (one of FORMATS) and from this level (one of LEVELS), to standard error.
    May be called again: what is written later follows it."""
    if form not in FORMATS or level not in LEVELS:
        raise ValueError(f"log form is one of {', '.join(FORMATS)}, level one of {', '.join(LEVELS)}")
    render: list[Any] = [structlog.processors.JSONRenderer()]
    if form == "text":
        order = ["timestamp", "level", "event"]
        render = [_flat, structlog.processors.LogfmtRenderer(key_order=order, bool_as_flag=False)]
    structlog.configure(
        processors=[
            rate_limiter,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _cut,
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
    """The logger of a module; ``name`` is its own, for readers of the code."""
    return structlog.get_logger(name)
