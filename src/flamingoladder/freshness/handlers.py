"""Answers the questions of other hosts about freshness."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.freshness.head import encode_head
from flamingoladder.freshness.local_state import OpenIntent
from flamingoladder.freshness.messages import ConfirmReply
from flamingoladder.freshness.messages import ConfirmRequest
from flamingoladder.freshness.messages import HeadAcknowledged
from flamingoladder.freshness.messages import HeadAnnounced
from flamingoladder.freshness.messages import HeadReply
from flamingoladder.freshness.messages import HeadRequest
from flamingoladder.freshness.messages import Intent
from flamingoladder.freshness.messages import IntentAborted
from flamingoladder.freshness.messages import IntentReply
from flamingoladder.freshness.messages import IntentStatusReply
from flamingoladder.freshness.messages import IntentStatusRequest
from flamingoladder.freshness.messages import ObjectReply
from flamingoladder.freshness.messages import ObjectRequest
from flamingoladder.freshness.messages import StatusRequest
from flamingoladder.freshness.status import host_status

if TYPE_CHECKING:
    from flamingoladder.freshness.committer import Committer
    from flamingoladder.freshness.head_storage import HeadStorage
    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.messages import HostStatus
    from flamingoladder.freshness.proof_renewer import ProofRenewer
    from flamingoladder.members.last_contact import LastContact
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks


class Responder:
    """The handlers of freshness messages."""

    __slots__ = ("_committer", "_knowledge", "_renewer", "_silence", "_storage")

    def __init__(
        self,
        knowledge: LocalState,
        storage: HeadStorage,
        renewer: ProofRenewer,
        committer: Committer,
        silence: LastContact,
    ) -> None:
        self._knowledge = knowledge
        self._storage = storage
        self._renewer = renewer
        self._committer = committer
        self._silence = silence

    def register(self, links: PeerLinks) -> None:
        """Take the messages of ``links``."""
        links.register(ConfirmRequest, self._vouch)
        links.register(Intent, self._acknowledge)
        links.register(IntentAborted, self._drop_intent)
        links.register(IntentStatusRequest, self._answer_about_intent)
        links.register(HeadAnnounced, self._take_head)
        links.register(HeadRequest, self._give_head)
        links.register(ObjectRequest, self._give_object)
        links.register(StatusRequest, self._give_status)

    async def _vouch(self, peer: Peer, message: ConfirmRequest) -> ConfirmReply:
        self._hear(peer)
        knowledge = self._knowledge
        knowledge.learn_of(message.version)
        return ConfirmReply(
            knowledge.known,
            knowledge.may_vouch(message.version),
            knowledge.member.incarnation,
            tuple(sorted(knowledge.suspended_keys)),
        )

    async def _acknowledge(self, peer: Peer, message: Intent) -> IntentReply:
        now = self._hear(peer)
        intent = OpenIntent(
            message.change_id,
            message.base_version,
            message.suspended_key,
            peer.host,
            peer.incarnation,
            now,
        )
        acknowledged = self._knowledge.open_intent(intent)
        incarnation = self._knowledge.member.incarnation
        return IntentReply(acknowledged, self._knowledge.known, incarnation)

    async def _drop_intent(self, peer: Peer, message: IntentAborted) -> None:
        self._hear(peer)
        intent = self._knowledge.intents_by_change.get(message.change_id)
        if intent is not None and intent.host == peer.host:
            self._knowledge.close_intent(message.change_id)

    async def _answer_about_intent(
        self, peer: Peer, message: IntentStatusRequest
    ) -> IntentStatusReply:
        self._hear(peer)
        is_open = self._committer.is_open(message.change_id)
        return IntentStatusReply(is_open, self._knowledge.member.incarnation)

    async def _take_head(self, peer: Peer, message: HeadAnnounced) -> HeadAcknowledged:
        self._hear(peer)
        await self._renewer.install_encoded(message.head, peer.host)
        knowledge = self._knowledge
        return HeadAcknowledged(knowledge.known, knowledge.installed, knowledge.member.incarnation)

    async def _give_head(self, peer: Peer, message: HeadRequest) -> HeadReply:
        self._hear(peer)
        head = self._knowledge.head
        return HeadReply(None if head is None else encode_head(head))

    async def _give_object(self, peer: Peer, message: ObjectRequest) -> ObjectReply:
        self._hear(peer)
        return ObjectReply(self._storage.content_of(message.name))

    async def _give_status(self, peer: Peer, message: StatusRequest) -> HostStatus:
        return host_status(self._knowledge, self._hear(peer))

    def _hear(self, peer: Peer) -> float:
        now = asyncio.get_running_loop().time()
        self._silence.record(peer.host, now)
        return now
