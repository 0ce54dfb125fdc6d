"""The retry budget: retries are a bounded part of the requests."""

from __future__ import annotations

from dataclasses import dataclass

RETRIES_PER_REQUEST = 0.15
MAX_SAVED_RETRIES = 3.0


@dataclass(slots=True, eq=False)
class RetryBudget:
    """A token bucket that every arriving request fills a little and every retry takes from."""

    balance: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count an arriving request."""
        self.balance = min(MAX_SAVED_RETRIES, self.balance + RETRIES_PER_REQUEST)

    def allows(self, cost: float) -> bool:
        """Return whether a retry of this cost is within the budget."""
        return self.balance >= cost

    def spend(self, cost: float) -> None:
        """Count a retry."""
        self.balance -= cost
