"""Test responses without a length: long ones are not cut off, short ones end in time."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from balancer.net.stream import MAX_BUFFERED_BODY_BYTES
from balancer.policy.response_growth import MAX_UNPROVEN_MS
from tests.response_patterns import (
    ALLOWED_DELAY_S,
    MAX_OVERRUN_S,
    End,
    Ending,
    Framing,
    Play,
    PlayingBackend,
    lumps,
    play_response,
    steady,
    with_framings,
)
from tests.sockets import CLASSES, running_node

# The times and sizes of the operators' report: 404 to 839 ms, a pause of 1.5 to 1.8 s.
TIMEOUTS_S = [0.404, 0.839]
PAUSE_S = 1.7
# No request is refused because its class is expected to take longer than its time.
QUICK_CLASSES = [entry | {"objective": 100, "late-worth": 0.5} for entry in CLASSES]


async def play_all(
    tmp_path: Path, plays: list[Play], classes: list[dict[str, Any]] = QUICK_CLASSES
) -> list[Ending]:
    """Play all responses side by side at one node."""
    backends = [PlayingBackend(f"b{number}", plays) for number in range(4)]
    async with running_node(tmp_path, *backends, **{"request-classes": classes}) as rig:
        return await asyncio.gather(
            *[play_response(await rig.connect(), plays, number) for number in range(len(plays))]
        )


def assert_whole(endings: list[Ending]) -> None:
    """Check that long responses came whole, and their first bytes not too late."""
    for ending in endings:
        assert ending.play.size > MAX_BUFFERED_BODY_BYTES
        assert ending.end is End.WHOLE and ending.size == ending.play.size, ending
        assert ending.first_s < ending.play.timeout_s + MAX_OVERRUN_S, ending


def assert_final_in_time(endings: list[Ending]) -> None:
    """Check that short responses are over in time: whole, failed, or visibly truncated."""
    for ending in endings:
        assert ending.play.size <= MAX_BUFFERED_BODY_BYTES
        assert ending.end is not End.NONE and ending.is_in_time, ending


async def test_long_response_in_lumps_is_not_cut_off_for_its_deadline(tmp_path: Path) -> None:
    """Guards against a deadline that ends a long response of which little has come when it pauses."""
    patterns = [
        lumps(first, rest, pause_s=PAUSE_S)
        for first, rest in ((40_000, 110_000), (53_780, 107_875), (59_622, 84_152), (65_000, 130_000))
    ]
    patterns.append(lumps(36_000, 4_000, 20_000, 100_000, pause_s=0.5))
    assert_whole(await play_all(tmp_path, with_framings(patterns, TIMEOUTS_S)))


async def test_short_response_in_lumps_is_final_in_time(tmp_path: Path) -> None:
    """Guards against a short response that is taken for a long one and ends after its time."""
    patterns = [
        lumps(30_000, 25_000, pause_s=PAUSE_S),
        lumps(15_000, 15_000, 15_000, 15_000, pause_s=PAUSE_S / 3),
        lumps(500, 60_000, pause_s=PAUSE_S),
    ]
    assert_final_in_time(await play_all(tmp_path, with_framings(patterns, TIMEOUTS_S)))


async def test_long_response_written_steadily_is_not_cut_off_for_its_deadline(tmp_path: Path) -> None:
    """Guards against a deadline that ends a long response at the rate of the slowest peers."""
    patterns = [steady(160_000, 2.5, 50), steady(400_000, 5.0, 100)]
    assert_whole(await play_all(tmp_path, with_framings(patterns, TIMEOUTS_S)))


async def test_short_response_written_steadily_is_final_in_time(tmp_path: Path) -> None:
    """Guards against a short response at a low rate that ends after its time."""
    patterns = [steady(60_000, 3.0, 30), steady(60_000, 2.4, 100), steady(6_000, 3.0, 60)]
    assert_final_in_time(await play_all(tmp_path, with_framings(patterns, TIMEOUTS_S)))


async def test_response_that_stops_below_64_kib_is_broken_off(tmp_path: Path) -> None:
    """Guards against a client that waits for ever for a response that was taken for a long one."""
    plays = with_framings([lumps(40_000, 100_000, pause_s=20.0)], TIMEOUTS_S)
    for ending in await play_all(tmp_path, plays):
        assert ending.end is End.TRUNCATED and ending.size == 40_000, ending
        assert ending.took_s < ending.play.timeout_s + MAX_UNPROVEN_MS / 1000 + 2 * MAX_OVERRUN_S, ending


async def test_response_of_a_streamed_class_has_no_deadline(tmp_path: Path) -> None:
    """Guards against a stream that has begun and is ended at its request's time."""
    plays = with_framings([steady(6_000, 3.0, 60), lumps(100, 100, pause_s=2.5)], TIMEOUTS_S[:1])
    plays.append(Play(steady(6_000, 3.0, 60), Framing.LENGTH, TIMEOUTS_S[0]))
    streamed = [entry | {"streamed": True} for entry in QUICK_CLASSES]
    for ending in await play_all(tmp_path, plays, streamed):
        assert ending.end is End.WHOLE and ending.size == ending.play.size, ending
        assert ending.first_s < ending.play.timeout_s + ALLOWED_DELAY_S, ending
