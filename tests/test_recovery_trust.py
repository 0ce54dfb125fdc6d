"""Trust table: which saved state a recovery core uses, and when."""

from __future__ import annotations

from typing import Any

import pytest

from balancer.recovery.actions import ApplyBan, RestrictSavedList
from balancer.recovery.events import DiskRead, SavedListLoaded
from balancer.recovery.trust import TRUST_TABLE, StateKind, TrustLevel, TrustRule
from tests.recovery_tier import BAN, Tier

# A node without peers has ended its survey after SURVEY_MS.
SURVEY_MS = 1_100


def started_tier(kind: StateKind, level: TrustLevel, **disk: Any) -> Tier:
    """Return a tier whose node 0 has started with a changed trust rule for one kind of state."""
    tier = Tier(3)
    tier.start(0, table={**TRUST_TABLE, kind: TrustRule(level)}, entries=(BAN,), **disk)
    tier.handle_event(0, SavedListLoaded(("a", "b")))
    return tier


@pytest.mark.parametrize(
    ("level", "before_survey", "after_survey"),
    [
        (TrustLevel.ALONE, True, True),
        (TrustLevel.UNLESS_CONTRADICTED, False, True),
        (TrustLevel.NEVER, False, False),
    ],
)
def test_saved_ban_is_applied_when_its_rule_permits(
    level: TrustLevel, before_survey: bool, after_survey: bool
) -> None:
    tier = started_tier(StateKind.BANS, level)
    assert bool(tier.actions_of(0, ApplyBan)) == before_survey
    tier.run(SURVEY_MS)
    assert bool(tier.actions_of(0, ApplyBan)) == after_survey


def test_untrusted_lift_cancels_no_ban() -> None:
    tier = started_tier(StateKind.LIFTED_BANS, TrustLevel.NEVER, sound=True)
    tier.handle_event(0, DiskRead(True, False, entries=(BAN._replace(active=False),)))
    tier.run(SURVEY_MS)
    assert tier.nodes[0].register.is_banned("a")


def test_untrusted_saved_list_is_avoided_completely() -> None:
    tier = started_tier(StateKind.LIST, TrustLevel.NEVER)
    tier.run(SURVEY_MS)
    assert tier.actions_of(0, RestrictSavedList) == [RestrictSavedList(frozenset("ab"))]


@pytest.mark.parametrize(("level", "incarnation"), [(TrustLevel.NEVER, 1), (TrustLevel.ALONE, 9)])
def test_saved_incarnation_is_used_when_its_rule_permits(level: TrustLevel, incarnation: int) -> None:
    core = started_tier(StateKind.INCARNATION, level, incarnation=9).nodes[0]
    assert core.register.counter.incarnation == incarnation


@pytest.mark.parametrize(("level", "rate"), [(TrustLevel.NEVER, 0.0), (TrustLevel.ALONE, 30.0)])
def test_saved_rate_is_used_when_its_rule_permits(level: TrustLevel, rate: float) -> None:
    core = started_tier(StateKind.WARM_RATE, level, warm_rate=10.0).nodes[0]
    assert core.quota.tier_rate == rate


@pytest.mark.parametrize(("sound", "fresh"), [(False, False), (True, True)])
def test_state_of_a_damaged_or_fresh_disk_is_not_trusted(sound: bool, fresh: bool) -> None:
    tier = Tier(3)
    tier.start(0, entries=(BAN,), sound=sound, fresh_disk=fresh)
    tier.run(SURVEY_MS)
    assert not tier.actions_of(0, ApplyBan)
    assert not any(tier.nodes[0].is_trusted(kind) for kind in StateKind)


def test_learned_state_is_not_trusted_after_two_hours_unlike_the_list() -> None:
    tier = Tier(3)
    tier.start(0, age_ms=2 * 3_600_000.0)
    tier.run(SURVEY_MS)
    assert tier.nodes[0].is_trusted(StateKind.LIST)
    assert not tier.nodes[0].is_trusted(StateKind.LEARNED)
