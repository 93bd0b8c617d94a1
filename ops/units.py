"""Durations, sizes and addresses in the form used in files and flags: "250ms", "64MiB", "127.0.0.1:6379"."""

from __future__ import annotations

import math
import re
from decimal import Decimal
from fractions import Fraction
from typing import ClassVar

QUANTITY_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)", re.ASCII)


class Quantity:
    """A whole number of base units that is parsed from and written as a string with a unit."""

    UNITS: ClassVar[dict[str, int]] = {}  # by unit: its size in base units; the base unit comes first
    EXPECTED: ClassVar[str] = ""
    ZERO_UNIT: ClassVar[str] = ""  # the unit that 0 is written with
    __slots__ = ("base",)

    def __init__(self, text: str) -> None:
        """Parse the text; raises ValueError if it is malformed or not a whole number of base units."""
        match = QUANTITY_PATTERN.fullmatch(text.strip())
        if not match or match[2] not in self.UNITS:
            raise ValueError(f"expected {self.EXPECTED}")
        exact = Fraction(match[1]) * self.UNITS[match[2]]
        if exact.denominator != 1:
            raise ValueError(f"expected a whole number of {next(iter(self.UNITS))}")
        self.base = int(exact)

    @classmethod
    def from_base(cls, base: int) -> Quantity:
        """Create a quantity from a number of base units."""
        return cls(f"{base}{next(iter(cls.UNITS))}")

    def __str__(self) -> str:
        """Format the quantity in the largest unit that gives a whole number."""
        unit = max(
            (unit for unit, size in self.UNITS.items() if self.base % size == 0), key=self.UNITS.__getitem__
        )
        return f"{self.base // self.UNITS[unit]}{unit}" if self.base else f"0{self.ZERO_UNIT}"

    def __repr__(self) -> str:
        return f"{type(self).__name__}({str(self)!r})"

    def __eq__(self, other: object) -> bool:
        return type(other) is type(self) and other.base == self.base

    def __hash__(self) -> int:
        return hash(self.base)


class Duration(Quantity):
    """A duration; the base unit is the microsecond."""

    UNITS: ClassVar[dict[str, int]] = {
        "us": 1,
        "ms": 1_000,
        "s": 1_000_000,
        "min": 60_000_000,
        "h": 3_600_000_000,
    }
    EXPECTED = 'a duration in us, ms, s, min or h, such as "250ms" or "1.5s"'
    ZERO_UNIT = "s"


class Size(Quantity):
    """A size; the base unit is the byte."""

    UNITS: ClassVar[dict[str, int]] = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
    EXPECTED = 'a size in B, KiB, MiB or GiB, such as "64MiB"'
    ZERO_UNIT = "MiB"


class Address:
    """``HOST:PORT``, where the host is a name or an IPv4 address."""

    EXPECTED = 'an address such as "127.0.0.1:6379"'
    __slots__ = ("host", "port")

    def __init__(self, text: str) -> None:
        host, _, port = text.rpartition(":")
        if not re.fullmatch(r"[A-Za-z0-9._-]+", host) or not re.fullmatch(r"[0-9]{1,5}", port, re.ASCII):
            raise ValueError(f"expected {self.EXPECTED}")
        self.host, self.port = host, int(port)
        if not 0 < self.port < 65536:
            raise ValueError("expected a port from 1 to 65535")

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    def __repr__(self) -> str:
        return f"Address({str(self)!r})"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Address) and str(other) == str(self)

    def __hash__(self) -> int:
        return hash(str(self))


UNIT_TYPES = (Duration, Size, Address)


def to_mebibytes(size: Size) -> float | int:
    """Convert to MiB, the unit of the platform's ``memory_mb``."""
    exact = Decimal(size.base) / (1 << 20)
    return int(exact) if exact == exact.to_integral_value() else float(exact)


def from_mebibytes(mebibytes: float) -> Size | None:
    """Convert from MiB; returns None if the result is not a whole number of bytes."""
    if not math.isfinite(mebibytes) or mebibytes < 0:
        return None
    exact = Fraction(mebibytes) * (1 << 20)
    return Size(f"{exact.numerator}B") if exact.denominator == 1 else None
