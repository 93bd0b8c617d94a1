"""The memory that the process may hold for others: one budget, from which every kind of holder draws.

The budget is what the memory limit leaves after the process itself. Each kind of bytes has an account with a
share of it, and all accounts together may not exceed it. What nothing counts, such as the allocator's free
lists, is measured from time to time and taken off.
"""

from __future__ import annotations

from collections.abc import Callable

MEBIBYTE = 1024 * 1024

MARGIN_SHARE = 1 / 16  # of the limit, for copies within one callback and what is not measured yet
OWN_BYTES_ASSUMED = 28 * MEBIBYTE  # of the process without clients, until it is measured
CAPACITY_MIN = MEBIBYTE  # where the limit leaves less: small requests are still served
ROOMY_SHARE = 1 / 2  # of the budget, which has to be free for large reads
HEADROOM_SHARE = 1 / 4  # of the budget, which large values leave to requests
REQUEST_MARGIN_SHARE = 1 / 2  # of the margin, which requests may use: they are small and soon answered

TRIM_SHARE = 1 / 8  # of the budget that may be resident without being counted
CHECKS_BETWEEN_TRIMS = 5

# Shares of the budget that one kind may take.
UPLOAD_SHARE = 1 / 2
INPUT_SHARE = 1 / 4
REQUEST_SHARE = 1 / 4
WAITING_REPLY_SHARE = 1 / 2
STREAM_SHARE = 3 / 4
PARTIAL_REPLY_SHARE = 1 / 4

ACCOUNT_SHARE = 1 / 4  # of the budget, for the accounts of customers
ACCOUNT_BYTES = 1024
ACCOUNTS_MIN = 1_000
EXECUTED_ID_SHARE = 1 / 32  # of the budget, for ids that must not be executed twice
EXECUTED_ID_BYTES = 256
EXECUTED_IDS_MIN = 1_000
REQUEST_OVERHEAD_BYTES = 2048  # of the objects that are kept for a request, besides its command


class MemoryBudget:
    """The bytes that the process may hold for others, and those that it holds."""

    def __init__(self, limit: int, own_bytes: int = OWN_BYTES_ASSUMED) -> None:
        self.limit = limit
        self.margin = int(MARGIN_SHARE * limit)
        self.own_bytes = own_bytes  # resident memory of the process without clients
        self.held = 0  # by all accounts
        self.uncounted = 0  # resident bytes that neither the accounts nor ``own_bytes`` explain
        self.other_process_bytes = 0  # resident memory of the other process of an upgrade
        self.capacity = 0
        self.accounts: list[MemoryAccount] = []
        self._resize()

    def _resize(self) -> None:
        left = self.limit - self.margin - self.own_bytes - self.other_process_bytes
        self.capacity = max(CAPACITY_MIN, left)
        for account in self.accounts:
            account.resize()

    def add_account(self, account: MemoryAccount) -> None:
        """Register an account, which is resized with the budget."""
        self.accounts.append(account)
        account.resize()

    def calibrate(self, resident_bytes: int) -> None:
        """Set what the process itself needs, measured before its first client."""
        self.own_bytes = resident_bytes
        self._resize()

    def set_other_process(self, resident_bytes: int) -> None:
        """Take off what the other process of an upgrade needs, as both share one limit."""
        self.other_process_bytes = resident_bytes
        self._resize()

    def measure(self, resident_bytes: int, reserved_unused: int) -> None:
        """Compare with the resident memory; ``reserved_unused`` of the counted bytes are not held yet."""
        self.uncounted = max(0, resident_bytes - self.own_bytes - (self.held - reserved_unused))

    @property
    def free(self) -> int:
        """Bytes that may still be held; negative if too many are."""
        return self.capacity - self.uncounted - self.held

    @property
    def is_exhausted(self) -> bool:
        """Whether even the margin is in use, so that something held has to be given up."""
        return self.free < -self.margin

    @property
    def is_roomy(self) -> bool:
        """Whether there is so much room that large reads do no harm."""
        return self.free > ROOMY_SHARE * self.capacity


def accounts_max(budget: MemoryBudget) -> int:
    """Return how many customers' accounts may be kept; they are not counted, but measured."""
    return max(ACCOUNTS_MIN, int(ACCOUNT_SHARE * budget.capacity / ACCOUNT_BYTES))


def executed_ids_max(budget: MemoryBudget) -> int:
    """Return how many ids of executed requests may be kept; they are not counted, but measured."""
    return max(EXECUTED_IDS_MIN, int(EXECUTED_ID_SHARE * budget.capacity / EXECUTED_ID_BYTES))


class MemoryAccount:
    """The bytes of one kind that all connections hold together."""

    def __init__(self, budget: MemoryBudget, share: float, headroom_share: float = 0.0) -> None:
        """``headroom_share`` of the budget is left free by this kind."""
        self.budget, self.share, self.headroom_share = budget, share, headroom_share
        self.limit = 0
        self.held = 0  # bytes
        budget.add_account(self)

    def resize(self) -> None:
        """Set the limit, as the budget has changed."""
        self.limit = int(self.share * self.budget.capacity)

    def change(self, before: int, after: int) -> None:
        """Record that a holder has changed from ``before`` to ``after`` bytes."""
        self.held += after - before
        self.budget.held += after - before

    def lacks(self, size: int) -> bool:
        """Return whether there is no room for so many bytes more."""
        return self.held + size > self.limit or size > self._free_in_budget()

    def _free_in_budget(self) -> float:
        return self.budget.free - self.headroom_share * self.budget.capacity

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the limit, or the budget is exhausted."""
        return self.held > self.limit or self.budget.is_exhausted


class RequestMemory(MemoryAccount):
    """The bytes of requests without an answer, besides large bodies; they may use a part of the margin."""

    def __init__(self, budget: MemoryBudget) -> None:
        super().__init__(budget, REQUEST_SHARE)

    def _free_in_budget(self) -> float:
        return self.budget.free + REQUEST_MARGIN_SHARE * self.budget.margin


class MemoryMonitor:
    """Keeps a budget in line with the resident memory of the process."""

    def __init__(
        self, budget: MemoryBudget, resident_bytes: Callable[[], int], trim: Callable[[], object]
    ) -> None:
        """``trim`` returns the allocator's free memory to the system."""
        self.budget, self.resident_bytes, self.trim = budget, resident_bytes, trim
        self.checks_until_trim = 0

    def calibrate(self) -> None:
        """Set what the process itself needs, before its first client."""
        self.budget.calibrate(self.resident_bytes())

    def check(self, reserved_unused: int) -> None:
        """Measure; if much is not explained, have the allocator return what it keeps, and measure again."""
        self.budget.measure(self.resident_bytes(), reserved_unused)
        self.checks_until_trim = max(0, self.checks_until_trim - 1)
        if self.budget.uncounted > TRIM_SHARE * self.budget.capacity and not self.checks_until_trim:
            self.checks_until_trim = CHECKS_BETWEEN_TRIMS
            self.trim()
            self.budget.measure(self.resident_bytes(), reserved_unused)
