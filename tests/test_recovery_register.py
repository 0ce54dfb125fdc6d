"""Laws of the replicated register of bans."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from balancer.recovery.ban_register import BanEntry, BanRegister
from tests.recovery_strategies import entries, entry_lists
from tests.recovery_tier import register_of


def entry_states(of: BanRegister) -> list[tuple[object, ...]]:
    """Return all entries but for their ages, which order nothing."""
    return [row[:5] for row in of.entries()]


@given(entry_lists, entry_lists, entry_lists)
def test_merges_commute_associate_and_are_idempotent(
    one: list[BanEntry], two: list[BanEntry], three: list[BanEntry]
) -> None:
    a = register_of(one, two, three)
    b = register_of(three, two, one, two)
    assert entry_states(a) == entry_states(b) and a.hash == b.hash and a.buckets == b.buckets
    assert not a.merge(b.entries()) and not b.merge(one)  # an old state changes nothing


@given(entry_lists, entry_lists)
def test_hashes_are_equal_exactly_where_entries_are(one: list[BanEntry], two: list[BanEntry]) -> None:
    a = register_of(one)
    b = register_of(two)
    assert (a.hash == b.hash) == (a.buckets == b.buckets) == (entry_states(a) == entry_states(b))


def test_a_concurrent_ban_and_lift_end_in_the_ban() -> None:
    one = BanRegister(1, 1)
    two = BanRegister(2, 1)
    one.commit([one.new_ban("a", 0.0)])
    two.merge(one.entries())
    again = one.new_ban("a", 5.0)  # a second ban, that the lift below does not know of
    two.commit(two.new_lift("a", 5.0))
    one.commit([again])
    one.merge(two.entries())
    two.merge(one.entries())
    assert one.is_banned("a") and two.is_banned("a") and one.hash == two.hash
    one.commit(one.new_lift("a", 9.0))
    two.merge(one.entries())
    assert not two.bans() and two.since("a") == 9.0


@given(st.lists(entries.map(lambda r: r._replace(node=0)), max_size=9), st.integers(0, 3))
def test_a_former_incarnation_covers_no_ban_of_this_one(former: list[BanEntry], incarnation: int) -> None:
    """Guards a lost disk: incarnations begin anew, and peers have entries with greater counters."""
    here = BanRegister(0, incarnation, process_tag=1)
    there = register_of(former)
    here.commit([here.new_ban("a", 0.0)])
    there.merge(here.entries())
    here.merge(former)
    there.merge(here.entries())
    here.merge(there.entries())
    assert here.is_banned("a") and there.is_banned("a") and here.hash == there.hash
    late = here.new_ban("b", 1.0)
    here.commit([late])
    there.merge(here.entries())
    assert there.get("b", 0) == late


def test_a_ban_that_waits_for_the_disk_is_issued_anew_above_a_former_incarnation() -> None:
    here = BanRegister(0, 1)
    waiting = here.new_ban("a", 0.0)
    here.merge([BanEntry("a", 0, 7, 3, False, 0.0)])
    (again,) = here.commit([waiting])
    assert not here.is_banned("a") and again.counter > (7, 3)
    assert not here.commit([again]) and here.is_banned("a")


@given(st.integers(0, 2**24 - 1), st.integers(0, 2**24 - 1), st.integers(0, 600), st.integers(0, 600))
def test_two_processes_of_one_incarnation_issue_no_counter_twice(
    one: int, other: int, bans_of_one: int, bans_of_other: int
) -> None:
    """Guards against a lost disk and a start in the same moment: a lift of one's ban lifts the other's."""
    issued = []
    for sequence, bans in ((one, bans_of_one), (other, bans_of_other)):
        register = BanRegister(0, 7, sequence)
        issued.append({register.new_ban("a", 0.0).counter for _ in range(bans)})
        assert len(issued[-1]) == bans
    assert one == other or not issued[0] & issued[1]


def test_no_counter_can_keep_a_node_from_its_bans() -> None:
    here = BanRegister(0, 1)
    here.merge([BanEntry("a", 0, 2**32 - 1, 0, False, 0.0), BanEntry("a", 0, 5, 2**32 - 1, False, 0.0)])
    assert not here.entries() and here.counts["impossible"] == 2
    here.merge([BanEntry("a", 0, 2**32 - 3, 2**32 - 2, False, 0.0)])
    here.commit([here.new_ban("a", 0.0)])
    assert here.is_banned("a")


def test_a_lift_that_waits_for_the_disk_covers_no_newer_ban() -> None:
    """Guards against a lift that lifts a ban requested while it was written."""
    one, two = BanRegister(1, 1), BanRegister(2, 1)
    one.commit([one.new_ban("a", 0.0)])
    two.merge(one.entries())
    waiting = two.new_lift("a", 1.0)
    one.commit([one.new_ban("a", 2.0)])
    two.merge(one.entries())
    two.commit(waiting)
    assert two.is_banned("a") and entry_states(two) == entry_states(one) and two.hash == one.hash


def test_no_entry_moves_back_while_writes_wait() -> None:
    """Guards against any crossing of requests that wait for the disk and entries of peers."""
    for seed in range(20):
        _play_crossing_requests(random.Random(seed))


def _play_crossing_requests(draws: random.Random) -> None:
    registers = [BanRegister(node, 1) for node in range(3)]
    waiting: list[list[list[BanEntry]]] = [[], [], []]
    for number in range(200):
        node = draws.randrange(3)
        register = registers[node]
        before = {entry.key: entry.version for entry in register.entries()}
        match draws.choice(["ban", "lift", "written", "learn"]):
            case "ban":
                waiting[node].append([register.new_ban("a", float(number))])
            case "lift":
                waiting[node].append(register.new_lift("a", float(number)))
            case "written" if waiting[node]:
                if reissued := register.commit(waiting[node].pop(0)):
                    waiting[node].append(reissued)
            case "learn":
                register.merge(registers[draws.randrange(3)].entries())
        for entry in register.entries():
            assert entry.version >= before.get(entry.key, entry.version)


def test_a_saved_ban_holds_against_a_lift_by_an_incarnation_unknown_to_the_disk() -> None:
    """Guards against a lost disk and a late clock: the ban came after the lift with the greater counter."""
    here = BanRegister(1, 5225)
    here.restore([BanEntry("a", 1, 2206, 7, True, 0.0)])
    changed = here.merge([BanEntry("a", 1, 3645, 3, False, 0.0)])
    assert here.is_banned("a")
    there = register_of([BanEntry("a", 1, 3645, 3, False, 0.0)])
    there.merge(changed)
    assert there.is_banned("a") and there.hash == here.hash


def test_a_saved_ban_gives_way_to_later_bans_of_its_own_incarnation() -> None:
    here = BanRegister(1, 5225)
    here.restore([BanEntry("a", 1, 2206, 7, True, 0.0)])
    here.merge([BanEntry("a", 1, 2206, 9, False, 0.0)])
    assert not here.is_banned("a")
