"""The trust table: what a core uses of the state that a disk had."""

from __future__ import annotations

from typing import Any

import pytest

from balancer.recovery.actions import ApplyBan, RestrictSavedList
from balancer.recovery.events import DiskRead, SavedListLoaded
from balancer.recovery.trust import TRUST_TABLE, StateKind, TrustLevel, TrustRule
from tests.recovery_tier import BAN, Tier

SURVEY_MS = 1_100  # until a node alone ends its survey


def started(kind: StateKind, level: TrustLevel, **disk: Any) -> Tier:
    """Return a tier whose node 0 has started with another rule for one kind of state."""
    tier = Tier(3)
    tier.start(0, table={**TRUST_TABLE, kind: TrustRule(level)}, entries=(BAN,), **disk)
    tier.event(0, SavedListLoaded(("a", "b")))
    return tier


@pytest.mark.parametrize(
    ("level", "before_survey", "after_survey"),
    [
        (TrustLevel.ALONE, True, True),
        (TrustLevel.UNLESS_CONTRADICTED, False, True),
        (TrustLevel.NEVER, False, False),
    ],
)
def test_a_saved_ban_is_applied_when_its_rule_allows(
    level: TrustLevel, before_survey: bool, after_survey: bool
) -> None:
    tier = started(StateKind.BANS, level)
    assert bool(tier.of(0, ApplyBan)) == before_survey
    tier.run(SURVEY_MS)
    assert bool(tier.of(0, ApplyBan)) == after_survey


def test_a_lifted_ban_that_is_not_trusted_lifts_nothing() -> None:
    tier = started(StateKind.LIFTED_BANS, TrustLevel.NEVER, sound=True)
    tier.event(0, DiskRead(True, False, entries=(BAN._replace(active=False),)))
    tier.run(SURVEY_MS)
    assert tier.nodes[0].register.is_banned("a")


def test_a_saved_list_that_is_not_trusted_is_avoided_completely() -> None:
    tier = started(StateKind.LIST, TrustLevel.NEVER)
    tier.run(SURVEY_MS)
    assert tier.of(0, RestrictSavedList) == [RestrictSavedList(frozenset("ab"))]


@pytest.mark.parametrize(("level", "incarnation"), [(TrustLevel.NEVER, 1), (TrustLevel.ALONE, 9)])
def test_the_saved_incarnation_counts_when_its_rule_allows(level: TrustLevel, incarnation: int) -> None:
    core = started(StateKind.INCARNATION, level, incarnation=9).nodes[0]
    assert core.register.counter.incarnation == incarnation


@pytest.mark.parametrize(("level", "rate"), [(TrustLevel.NEVER, 0.0), (TrustLevel.ALONE, 30.0)])
def test_the_saved_rate_counts_when_its_rule_allows(level: TrustLevel, rate: float) -> None:
    core = started(StateKind.WARM_RATE, level, warm_rate=10.0).nodes[0]
    assert core.quota.tier_rate == rate


@pytest.mark.parametrize(("sound", "fresh"), [(False, False), (True, True)])
def test_nothing_is_trusted_of_a_disk_that_is_damaged_or_fresh(sound: bool, fresh: bool) -> None:
    tier = Tier(3)
    tier.start(0, entries=(BAN,), sound=sound, fresh_disk=fresh)
    tier.run(SURVEY_MS)
    assert not tier.of(0, ApplyBan)
    assert not any(tier.nodes[0].is_trusted(kind) for kind in StateKind)


def test_what_was_learned_is_not_trusted_after_two_hours_but_the_list_is() -> None:
    tier = Tier(3)
    tier.start(0, age_ms=2 * 3_600_000.0)
    tier.run(SURVEY_MS)
    assert tier.nodes[0].is_trusted(StateKind.LIST)
    assert not tier.nodes[0].is_trusted(StateKind.LEARNED)
