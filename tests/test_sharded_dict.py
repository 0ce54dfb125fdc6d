"""A table in parts: a dict in all but its order, which is the same in each process."""

from __future__ import annotations

import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.net.sharded_dict import SHARD_COUNT, ShardedDict

NAMES = st.text(max_size=3)


@given(st.lists(st.tuples(NAMES, st.sampled_from(["set", "pop", "get"])), max_size=60))
def test_it_holds_what_a_dict_holds(steps: list[tuple[str, str]]) -> None:
    table, plain = ShardedDict[int](), dict[str, int]()
    for number, (name, what) in enumerate(steps):
        if what == "set":
            table[name] = plain[name] = number
        elif what == "pop":
            assert table.pop(name, None) == plain.pop(name, None)
        assert table.get(name) == plain.get(name) and (name in table) == (name in plain)
    assert dict(table) == plain and len(table) == len(plain) and set(table) == plain.keys()
    with pytest.raises(KeyError):
        table["none of these"]


def test_no_part_holds_much_more_than_its_share() -> None:
    """Guards against a long turn: a dict that grows moves all that it holds."""
    table = ShardedDict((f"s-{i:08x}", i) for i in range(70_000))
    assert max(map(len, table.shards)) < 1.2 * 70_000 / SHARD_COUNT


def test_names_may_go_while_others_are_gone_through() -> None:
    table, seen = ShardedDict((f"b{i}", i) for i in range(500)), list[str]()
    for name in table:
        seen.append(name)
        table.pop("b7", None)
        del table[name]
    assert len(seen) in (499, 500) and not table


def test_the_order_is_the_same_in_each_process() -> None:
    text = (
        "from balancer.net.sharded_dict import ShardedDict; "
        "print(*ShardedDict((f'b{i}', i) for i in range(300)))"
    )
    said = {
        subprocess.run([sys.executable, "-c", text], env={"PYTHONHASHSEED": seed}, check=True,
                       capture_output=True).stdout
        for seed in ("1", "2")
    }  # fmt: skip
    assert said == {" ".join(ShardedDict((f"b{i}", i) for i in range(300))).encode() + b"\n"}
