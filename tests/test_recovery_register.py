"""Replicated ban register: convergence, concurrent requests, and counters after a lost disk."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from balancer.recovery.ban_register import BanEntry, BanRegister
from tests.recovery_strategies import entries, entry_lists
from tests.recovery_tier import merged_register


def entry_states(register: BanRegister) -> list[tuple[object, ...]]:
    """Return all entries without their times, which do not affect the order."""
    return [entry[:5] for entry in register.entries()]


@given(entry_lists, entry_lists, entry_lists)
def test_merges_are_commutative_associative_and_idempotent(
    one: list[BanEntry], two: list[BanEntry], three: list[BanEntry]
) -> None:
    a = merged_register(one, two, three)
    b = merged_register(three, two, one, two)
    assert entry_states(a) == entry_states(b) and a.hash == b.hash and a.buckets == b.buckets
    assert not a.merge(b.entries()) and not b.merge(one)  # Entries of an older state change nothing.


@given(entry_lists, entry_lists)
def test_hashes_are_equal_exactly_when_entries_are_equal(one: list[BanEntry], two: list[BanEntry]) -> None:
    a = merged_register(one)
    b = merged_register(two)
    assert (a.hash == b.hash) == (a.buckets == b.buckets) == (entry_states(a) == entry_states(b))


def test_concurrent_ban_and_lift_result_in_a_ban() -> None:
    one = BanRegister(1, 1)
    two = BanRegister(2, 1)
    one.commit([one.new_ban("a", 0.0)])
    two.merge(one.entries())
    second_ban = one.new_ban("a", 5.0)  # The lift by register two does not know of this second ban.
    two.commit(two.new_lift("a", 5.0))
    one.commit([second_ban])
    one.merge(two.entries())
    two.merge(one.entries())
    assert one.is_banned("a") and two.is_banned("a") and one.hash == two.hash
    one.commit(one.new_lift("a", 9.0))
    two.merge(one.entries())
    assert not two.bans() and two.since("a") == 9.0


@given(st.lists(entries.map(lambda entry: entry._replace(node=0)), max_size=9), st.integers(0, 3))
def test_earlier_incarnation_does_not_override_bans_of_the_current_one(
    earlier_entries: list[BanEntry], incarnation: int
) -> None:
    """Guards against a lost disk: incarnations start again, and peers have entries with greater counters."""
    local = BanRegister(0, incarnation, process_tag=1)
    remote = merged_register(earlier_entries)
    local.commit([local.new_ban("a", 0.0)])
    remote.merge(local.entries())
    local.merge(earlier_entries)
    remote.merge(local.entries())
    local.merge(remote.entries())
    assert local.is_banned("a") and remote.is_banned("a") and local.hash == remote.hash
    later_ban = local.new_ban("b", 1.0)
    local.commit([later_ban])
    remote.merge(local.entries())
    assert remote.get("b", 0) == later_ban


def test_ban_waiting_for_the_disk_is_reissued_above_an_earlier_incarnation() -> None:
    local = BanRegister(0, 1)
    pending = local.new_ban("a", 0.0)
    local.merge([BanEntry("a", 0, 7, 3, False, 0.0)])
    (reissued,) = local.commit([pending])
    assert not local.is_banned("a") and reissued.counter > (7, 3)
    assert not local.commit([reissued]) and local.is_banned("a")


@given(st.integers(0, 2**24 - 1), st.integers(0, 2**24 - 1), st.integers(0, 600), st.integers(0, 600))
def test_processes_with_the_same_incarnation_issue_distinct_counters(
    one: int, other: int, bans_of_one: int, bans_of_other: int
) -> None:
    """Guards against equal counters after a lost disk: a lift of one ban would cancel another one."""
    issued = []
    for sequence, bans in ((one, bans_of_one), (other, bans_of_other)):
        register = BanRegister(0, 7, sequence)
        issued.append({register.new_ban("a", 0.0).counter for _ in range(bans)})
        assert len(issued[-1]) == bans
    assert one == other or not issued[0] & issued[1]


def test_no_received_counter_prevents_a_node_from_issuing_bans() -> None:
    local = BanRegister(0, 1)
    local.merge([BanEntry("a", 0, 2**32 - 1, 0, False, 0.0), BanEntry("a", 0, 5, 2**32 - 1, False, 0.0)])
    assert not local.entries() and local.counts["impossible"] == 2
    local.merge([BanEntry("a", 0, 2**32 - 3, 2**32 - 2, False, 0.0)])
    local.commit([local.new_ban("a", 0.0)])
    assert local.is_banned("a")


def test_lift_waiting_for_the_disk_does_not_cancel_a_newer_ban() -> None:
    """Guards against a lift that cancels a ban which was requested while the lift was being written."""
    one, two = BanRegister(1, 1), BanRegister(2, 1)
    one.commit([one.new_ban("a", 0.0)])
    two.merge(one.entries())
    pending = two.new_lift("a", 1.0)
    one.commit([one.new_ban("a", 2.0)])
    two.merge(one.entries())
    two.commit(pending)
    assert two.is_banned("a") and entry_states(two) == entry_states(one) and two.hash == one.hash


def test_entry_versions_never_decrease_while_writes_are_pending() -> None:
    """Guards against interleavings of pending writes with entries of peers, by random requests."""
    for seed in range(20):
        _play_interleaved_requests(random.Random(seed))


def _play_interleaved_requests(generator: random.Random) -> None:
    registers = [BanRegister(node, 1) for node in range(3)]
    pending: list[list[list[BanEntry]]] = [[], [], []]
    for number in range(200):
        node = generator.randrange(3)
        register = registers[node]
        before = {entry.key: entry.version for entry in register.entries()}
        match generator.choice(["ban", "lift", "written", "learn"]):
            case "ban":
                pending[node].append([register.new_ban("a", float(number))])
            case "lift":
                pending[node].append(register.new_lift("a", float(number)))
            case "written" if pending[node]:
                if reissued := register.commit(pending[node].pop(0)):
                    pending[node].append(reissued)
            case "learn":
                register.merge(registers[generator.randrange(3)].entries())
        for entry in register.entries():
            assert entry.version >= before.get(entry.key, entry.version)


def test_saved_ban_survives_a_lift_of_an_incarnation_unknown_to_the_disk() -> None:
    """Guards against a lost disk and a slow clock: the ban is newer than a lift with a greater counter."""
    local = BanRegister(1, 5225)
    local.restore([BanEntry("a", 1, 2206, 7, True, 0.0)])
    changed = local.merge([BanEntry("a", 1, 3645, 3, False, 0.0)])
    assert local.is_banned("a")
    remote = merged_register([BanEntry("a", 1, 3645, 3, False, 0.0)])
    remote.merge(changed)
    assert remote.is_banned("a") and remote.hash == local.hash


def test_saved_ban_is_replaced_by_a_later_lift_of_its_own_incarnation() -> None:
    local = BanRegister(1, 5225)
    local.restore([BanEntry("a", 1, 2206, 7, True, 0.0)])
    local.merge([BanEntry("a", 1, 2206, 9, False, 0.0)])
    assert not local.is_banned("a")
