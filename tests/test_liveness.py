"""Test the liveness timeout of a discovery call and the timer that checks it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from balancer.net.liveness import MAX_OBJECT_DURATION_S, RECHECK_DELAY_S, LivenessTimeout, LivenessTimer
from tests.virtual_discovery import VirtualLoop

MESSAGE_TIMEOUT_S = 1.5
SILENCE_TIMEOUT_S = 3.0


@pytest.fixture
def timeout() -> LivenessTimeout:
    """Return the timeout of a call dialled at 10 s."""
    return LivenessTimeout(10.0, MESSAGE_TIMEOUT_S, SILENCE_TIMEOUT_S)


def test_the_timeout_of_the_first_message_starts_when_the_call_is_dialled(timeout: LivenessTimeout) -> None:
    assert timeout.expires_at(is_patient=False) == 11.5
    assert timeout.expires_at(is_patient=True) == 11.5


def test_the_timeout_of_the_first_message_can_be_extended(timeout: LivenessTimeout) -> None:
    timeout.extend(3.0)
    assert timeout.expires_at(is_patient=False) == 13.0


def test_a_message_extends_the_timeout(timeout: LivenessTimeout) -> None:
    timeout.message_received(20.0)
    assert timeout.expires_at(is_patient=False) == 23.0


def test_bytes_of_an_incomplete_object_extend_only_a_patient_timeout(timeout: LivenessTimeout) -> None:
    timeout.bytes_received(11.0)
    assert timeout.expires_at(is_patient=False) == 11.5
    assert timeout.expires_at(is_patient=True) == 14.0
    assert timeout.is_receiving_bytes(13.9)
    assert not timeout.is_receiving_bytes(14.0)


def test_a_patient_timeout_is_extended_up_to_a_limit(timeout: LivenessTimeout) -> None:
    timeout.bytes_received(1000.0)
    assert timeout.expires_at(is_patient=True) == 11.5 + MAX_OBJECT_DURATION_S


class TimedCall:
    """A fake call whose timeout expires at `due_at`, and which records when its timer expires."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.due_at = 2.0
        self.backlogged_until = 0.0
        self.expired_at = list[float]()
        self.timer = LivenessTimer(loop, lambda: self.due_at, self.is_backlogged, self.expire)

    def is_backlogged(self) -> bool:
        return self.loop.time() < self.backlogged_until

    def expire(self) -> None:
        self.expired_at.append(round(self.loop.time(), 6))


def run(begin: Callable[[TimedCall], None]) -> list[float]:
    """Run a timer for 10 s of virtual time and return the times at which it expired."""

    async def dial(*_: object) -> None:
        raise AssertionError

    loop = VirtualLoop(dial)
    call = TimedCall(loop)
    call.timer.start()
    begin(call)
    loop.run_until_complete(asyncio.sleep(10.0))
    loop.close()
    return call.expired_at


def test_the_timer_expires_at_the_second_check() -> None:
    assert run(lambda call: None) == [2.0 + RECHECK_DELAY_S]


def test_the_timer_follows_an_extended_timeout() -> None:
    def extend(call: TimedCall) -> None:
        call.due_at = 5.0

    def schedule(call: TimedCall) -> None:
        call.loop.call_at(1.0, extend, call)

    assert run(schedule) == [5.0 + RECHECK_DELAY_S]


def test_a_message_before_the_second_check_keeps_the_timer_from_expiring() -> None:
    def extend(call: TimedCall) -> None:
        call.due_at = 6.0

    def schedule(call: TimedCall) -> None:
        call.loop.call_at(2.02, extend, call)

    assert run(schedule) == [6.0 + RECHECK_DELAY_S]


def test_the_timer_waits_until_all_received_data_is_processed() -> None:
    def set_backlog(call: TimedCall) -> None:
        call.backlogged_until = 3.01

    assert run(set_backlog) == [3.05]


def test_a_stopped_timer_does_not_expire() -> None:
    assert run(lambda call: call.timer.stop()) == []
