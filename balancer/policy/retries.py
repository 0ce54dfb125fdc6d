"""The retry budget, which limits retries to a fraction of the requests."""

from __future__ import annotations

from dataclasses import dataclass

RETRIES_PER_REQUEST = 0.15
MAX_SAVED_RETRIES = 3.0


@dataclass(slots=True, eq=False)
class RetryBudget:
    """A token bucket for retries: each arriving request adds a part of a token."""

    balance: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add the fraction of a token that an arriving request earns."""
        self.balance = min(MAX_SAVED_RETRIES, self.balance + RETRIES_PER_REQUEST)

    def allows(self, cost: float) -> bool:
        """Return whether the budget covers a retry of this cost."""
        return self.balance >= cost

    def spend(self, cost: float) -> None:
        """Take the cost of a retry from the budget."""
        self.balance -= cost
