"""What one node may give to cold backends while its whole tier returns from a loss of power.

Where all backends are cold at once the rule for a single cold one among warm ones refuses far too much: half
of the requests at a time when nearly all could be served. What bounds the work then is a token bucket. It is
filled by this node's share of what the cold backends bear together, by the rate that the tier carried when
warm; and while answers come in time nothing else is held back from a backend no colder than the rest.
"""

from __future__ import annotations

from collections.abc import Sequence

from balancer import interface as api

COLD_ALL = 0.8  # part of what cold backends can take before they fall, as nothing else adds to it
SAVED = 4  # the window of a fall is so many times what may be saved up: a burst uses little of it
BURST = 2.0  # sends that may be saved up at least
EVERY = 50.0  # ms between two fillings: warmth moves slowly, and all backends are looked at
EASE = 0.8  # share of sends in time from which the rule for single cold backends is eased


class Admission:
    """One node's part; `word` is what it was last told of the return."""

    def __init__(self, word: api.RecoveryProgressed, now: float) -> None:
        self.word, self.filled = word, now
        self.tokens = self.reserve = 0.0  # sends to cold backends; what valuable requests may overdraw
        self.mean = 1.0  # warmth of the listed backends

    def due(self, now: float) -> bool:
        """Whether the bucket is to be filled."""
        return now - self.filled >= EVERY

    def fill(self, now: float, warmth: Sequence[float], fleet: int, settings: api.Settings) -> None:
        """Time has passed: `warmth` of each listed backend, 0 to 1; `fleet`: most that were ever listed."""
        self.mean = sum(warmth) / max(1, len(warmth))
        cold = sum(one for one in warmth if one < 1.0)
        bears = settings.overload_multiple * cold / max(1, fleet) * self.word.rate / 1000  # a ms, by all
        mine = COLD_ALL * self.word.share * bears
        most = max(BURST, mine * settings.overload_window_ms / SAVED)
        self.tokens = min(most, self.tokens + mine * (now - self.filled))
        self.filled, self.reserve = now, most / 2

    def allows(self, dense: bool) -> bool:
        """Whether a cold backend may be sent one more; where nobody knows the tier's rate nothing bounds it.

        The most valuable requests may use what is yet to be filled in: they are the last to be refused.
        """
        return self.word.rate <= 0 or self.tokens >= (-self.reserve if dense else 1.0)

    def took(self) -> None:
        """One went out to a cold backend."""
        self.tokens -= 1.0

    def eased(self, chance: float, among: float, warmth: float, trust: float) -> tuple[float, float]:
        """The chance of a cold backend, one of `among` drawn, by how well sends go of late.

        One that is colder than the mean keeps its own: it restarted later than the others.
        """
        if warmth < self.mean:
            return chance, among
        ease = max(0.0, (trust - EASE) / (1 - EASE))
        return chance + (1 - chance) * ease, 1 + (among - 1) * (1 - ease)
