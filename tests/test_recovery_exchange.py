"""Components of the anti-entropy exchange."""

from __future__ import annotations

import pytest

from balancer.recovery.agreement import ALL_BUCKETS, RegisterAgreement
from balancer.recovery.ban_register import BanEntry, BanRegister
from balancer.recovery.messages import MAX_ENTRIES_BYTES, RegisterPage, encoded_entry_size
from balancer.recovery.pages import Paginator
from balancer.recovery.token_bucket import TokenBucket
from balancer.recovery.urgent_entries import TRANSMISSIONS_PER_ENTRY, UrgentEntries
from tests.recovery_tier import BAN, merged_register


def test_token_bucket_allows_its_burst_and_then_its_rate() -> None:
    bucket = TokenBucket(rate=2.0, burst=3.0, now=0.0)
    for _ in range(3):
        assert bucket.has_token
        bucket.take()
    assert not bucket.has_token and bucket.available_at == pytest.approx(500.0)
    bucket.refill(bucket.available_at)
    assert bucket.has_token


def test_pages_fit_into_datagrams_and_contain_all_entries() -> None:
    entries = [BanEntry(f"backend-{i}", 1, 1, i, True, 0.0) for i in range(50)]
    pages = Paginator(merged_register(entries)).pages(ALL_BUCKETS)
    assert sorted(entry for page in pages for entry in page) == sorted(entries)
    assert all(sum(map(encoded_entry_size, page)) <= MAX_ENTRIES_BYTES for page in pages)


def test_urgent_entry_is_sent_twice() -> None:
    queue = UrgentEntries(merged_register([BAN]), repeat_after_ms=250.0)
    queue.add(BAN, now=0.0)
    sent = [now for now in range(0, 2_000, 50) if queue.take(float(now))]
    assert sent == [0, 250] and len(sent) == TRANSMISSIONS_PER_ENTRY


def test_peer_agrees_after_all_parts_of_its_register_have_arrived() -> None:
    agreement = RegisterAgreement(BanRegister(0, 1))
    agreement.peer_hashes[1] = 99
    for part in range(2):
        assert agreement.peers_ahead() == [1] and not agreement.agrees_with(1)
        agreement.page_received(1, 99, RegisterPage((), mask=ALL_BUCKETS, part=part, parts=2))
    assert agreement.agrees_with(1) and agreement.is_behind(1) and agreement.peers_ahead() == []
