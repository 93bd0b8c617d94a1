"""Values with a unit, as a person writes them: "250ms", "64MiB", "127.0.0.1:6379"."""

from __future__ import annotations

import math
import re
from decimal import Decimal
from fractions import Fraction
from typing import ClassVar

QUANTITY_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)", re.ASCII)


class Quantity:
    """A number of base units; read from and written as text. Equal if it is the same number."""

    UNITS: ClassVar[dict[str, int]] = {}  # the base unit first, each in base units
    EXPECTED: ClassVar[str] = ""
    ZERO_UNIT: ClassVar[str] = ""  # the unit in which nothing is told
    __slots__ = ("base",)

    def __init__(self, text: str) -> None:
        """Raises ValueError where it is no such quantity, or no whole number of base units."""
        found = QUANTITY_PATTERN.fullmatch(text.strip())
        if not found or found[2] not in self.UNITS:
            raise ValueError(f"expected {self.EXPECTED}")
        exact = Fraction(found[1]) * self.UNITS[found[2]]
        if exact.denominator != 1:
            raise ValueError(f"expected a whole number of {next(iter(self.UNITS))}")
        self.base = int(exact)

    @classmethod
    def from_base(cls, base: int) -> Quantity:
        """So many base units."""
        return cls(f"{base}{next(iter(cls.UNITS))}")

    def __str__(self) -> str:
        """In the largest unit in which it is a whole number."""
        unit = max((u for u, n in self.UNITS.items() if self.base % n == 0), key=self.UNITS.__getitem__)
        return f"{self.base // self.UNITS[unit]}{unit}" if self.base else f"0{self.ZERO_UNIT}"

    def __repr__(self) -> str:
        return f"{type(self).__name__}({str(self)!r})"

    def __eq__(self, other: object) -> bool:
        return type(other) is type(self) and other.base == self.base

    def __hash__(self) -> int:
        return hash(self.base)


class Duration(Quantity):
    """Microseconds."""

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
    """Bytes."""

    UNITS: ClassVar[dict[str, int]] = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
    EXPECTED = 'a size in B, KiB, MiB or GiB, such as "64MiB"'
    ZERO_UNIT = "MiB"


class Address:
    """``HOST:PORT``; the host is a name or an IPv4 address."""

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
    """In MiB, as the platform's ``memory_mb`` counts."""
    exact = Decimal(size.base) / (1 << 20)
    return int(exact) if exact == exact.to_integral_value() else float(exact)


def from_mebibytes(number: float) -> Size | None:
    """The same back; None where that is no whole number of bytes."""
    if not math.isfinite(number) or number < 0:
        return None
    exact = Fraction(number) * (1 << 20)
    return Size(f"{exact.numerator}B") if exact.denominator == 1 else None
