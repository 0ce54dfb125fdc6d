"""Test that a sharded dict behaves like a dict, with an order that is the same in each process."""

from __future__ import annotations

import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.net.sharded_dict import SHARD_COUNT, ShardedDict

NAMES = st.text(max_size=3)


@given(st.lists(st.tuples(NAMES, st.sampled_from(["set", "pop", "get"])), max_size=60))
def test_a_sharded_dict_has_the_same_items_as_a_dict(operations: list[tuple[str, str]]) -> None:
    sharded, plain = ShardedDict[int](), dict[str, int]()
    for number, (name, operation) in enumerate(operations):
        if operation == "set":
            sharded[name] = plain[name] = number
        elif operation == "pop":
            assert sharded.pop(name, None) == plain.pop(name, None)
        assert sharded.get(name) == plain.get(name) and (name in sharded) == (name in plain)
    assert dict(sharded) == plain and len(sharded) == len(plain) and set(sharded) == plain.keys()
    with pytest.raises(KeyError):
        sharded["none of these"]


def test_names_are_spread_evenly_over_the_shards() -> None:
    """Guards against blocking the event loop when one large shard grows and rehashes all its entries."""
    sharded = ShardedDict((f"s-{i:08x}", i) for i in range(70_000))
    assert max(map(len, sharded.shards)) < 1.2 * 70_000 / SHARD_COUNT


def test_names_may_be_removed_during_iteration() -> None:
    sharded, seen = ShardedDict((f"b{i}", i) for i in range(500)), list[str]()
    for name in sharded:
        seen.append(name)
        sharded.pop("b7", None)
        del sharded[name]
    assert len(seen) in (499, 500) and not sharded


def test_the_order_is_the_same_in_each_process() -> None:
    program = (
        "from balancer.net.sharded_dict import ShardedDict; "
        "print(*ShardedDict((f'b{i}', i) for i in range(300)))"
    )
    outputs = {
        subprocess.run([sys.executable, "-c", program], env={"PYTHONHASHSEED": seed}, check=True,
                       capture_output=True).stdout
        for seed in ("1", "2")
    }  # fmt: skip
    assert outputs == {" ".join(ShardedDict((f"b{i}", i) for i in range(300))).encode() + b"\n"}
