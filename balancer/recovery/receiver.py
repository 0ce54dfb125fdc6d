"""Handle the datagrams of peers and reply to them."""

from __future__ import annotations

from balancer.recovery.ban_controller import BanController
from balancer.recovery.context import RecoveryContext
from balancer.recovery.events import DatagramReceived
from balancer.recovery.exchange import Exchange
from balancer.recovery.messages import (
    Digest,
    ListFilter,
    Message,
    MessageError,
    MessageKind,
    NodeStatus,
    RegisterPage,
    StatusFlag,
    UnknownKindError,
    decode,
)
from balancer.recovery.phase_machine import STATUS_SPREAD_MS
from balancer.recovery.phases import Phase
from balancer.recovery.saved_list import SavedList
from balancer.recovery.survey import PeerSurvey

EXPECTED_SURVEY_REPLIES = 8  # a survey of a large tier gets 8 replies on average
MAX_DIGEST_DELAY_MS = 1000.0  # a digest waits for entries that may be broadcast in the meantime
MAX_SURVEY_DIGEST_DELAY_MS = 160.0  # during a survey a digest waits for at most 160 ms
# After established peers have answered a survey, a digest waits for at most 10 ms.
MAX_ESTABLISHED_DIGEST_DELAY_MS = 10.0


class DatagramReceiver:
    """Dispatch the content of datagrams to the components of a recovery."""

    def __init__(
        self,
        context: RecoveryContext,
        survey: PeerSurvey,
        saved_list: SavedList,
        bans: BanController,
        exchange: Exchange,
    ) -> None:
        """Create the receiver of a node."""
        self._context = context
        self._survey = survey
        self._saved_list = saved_list
        self._bans = bans
        self._exchange = exchange

    def receive(self, event: DatagramReceived) -> None:
        """Handle a datagram; count and drop datagrams that are unusable."""
        message = self._valid_message(event)
        if message is None:
            return
        self._context.counts["received"] += 1
        node = message.sender
        now = self._context.now
        match message.body:
            case NodeStatus() as status:
                self._survey.record(node, status)
                self._hash_received(message)
                self._reply(message, status)
            case RegisterPage() as page:
                changed = self._exchange.page_received(node, message.hash, page)
                self._bans.entries_received(changed, page.entries, now)
                self._hash_received(message)
            case ListFilter() as list_filter:
                self._exchange.filters.received(list_filter, now)
                self._saved_list.receive_filter(list_filter)
            case Digest() as digest:
                if self._context.phase >= Phase.ASK:
                    self._hash_received(message)
                    self._exchange.digest_received(node, message.hash, digest, now)

    def _valid_message(self, event: DatagramReceived) -> Message | None:
        context = self._context
        try:
            message = decode(event.data, context.now)
        except UnknownKindError:
            context.counts["unknown_kinds"] += 1
            return None
        except MessageError:
            context.counts["unreadable"] += 1
            return None
        sender = message.sender
        if sender != event.source or sender == context.node or not 0 <= sender < context.node_count:
            context.counts["wrong_sender"] += 1
            return None
        return message

    def _hash_received(self, message: Message) -> None:
        if self._context.phase > Phase.ASK:
            max_delay = MAX_DIGEST_DELAY_MS
        elif self._survey.has_established_peers:
            max_delay = MAX_ESTABLISHED_DIGEST_DELAY_MS
        else:
            max_delay = MAX_SURVEY_DIGEST_DELAY_MS
        self._exchange.hash_received(message.sender, message.hash, self._context.now, max_delay)

    def _reply(self, message: Message, status: NodeStatus) -> None:
        context = self._context
        if message.kind is MessageKind.SURVEY:
            self._reply_to_survey(message.sender, status)
        elif StatusFlag.REPLY not in status.flags and self._exchange.agreement.is_behind(message.sender):
            # The status shows the peer that it lacks entries.
            self._exchange.send_status(message.sender, context.now)
        if StatusFlag.LISTED not in status.flags and context.has_fresh_list and context.phase >= Phase.LISTED:
            listed = sum(StatusFlag.LISTED in known.flags for known in self._survey.statuses())
            self._exchange.filters.plan(context.now, listed)

    def _reply_to_survey(self, sender: int, status: NodeStatus) -> None:
        """Reply at random; of the nodes unknown to the sender, `EXPECTED_SURVEY_REPLIES` reply on average."""
        context = self._context
        unheard = (self._survey.present_bits() & ~status.present_nodes).bit_count()
        if status.present_nodes >> context.node & 1:
            return
        if context.generator.random() * unheard >= EXPECTED_SURVEY_REPLIES:
            return
        is_full = context.phase is Phase.FULL
        delay = 0.0 if is_full else STATUS_SPREAD_MS * context.generator.uniform(0.5, 1.0)
        self._exchange.send_status(sender, context.now, delay)
