"""Handlers of other hosts' freshness messages."""

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


class FreshnessHandlers:
    """Answers the freshness messages of other hosts from this host's state."""

    __slots__ = ("_committer", "_last_contact", "_local_state", "_renewer", "_storage")

    def __init__(
        self,
        local_state: LocalState,
        storage: HeadStorage,
        renewer: ProofRenewer,
        committer: Committer,
        last_contact: LastContact,
    ) -> None:
        self._local_state = local_state
        self._storage = storage
        self._renewer = renewer
        self._committer = committer
        self._last_contact = last_contact

    def register(self, links: PeerLinks) -> None:
        """Register the handlers with ``links``."""
        links.register(ConfirmRequest, self._confirm)
        links.register(Intent, self._acknowledge)
        links.register(IntentAborted, self._abort_intent)
        links.register(IntentStatusRequest, self._send_intent_status)
        links.register(HeadAnnounced, self._install_head)
        links.register(HeadRequest, self._send_head)
        links.register(ObjectRequest, self._send_object)
        links.register(StatusRequest, self._send_status)

    async def _confirm(self, peer: Peer, message: ConfirmRequest) -> ConfirmReply:
        self._record_contact(peer)
        local_state = self._local_state
        local_state.observe_version(message.version)
        local_state.observe_era(message.store_era)
        return ConfirmReply(
            local_state.known,
            local_state.may_confirm(message.version, message.change_id),
            local_state.member.incarnation,
            tuple(sorted(local_state.suspended_keys)),
            local_state.change_id,
        )

    async def _acknowledge(self, peer: Peer, message: Intent) -> IntentReply:
        now = self._record_contact(peer)
        intent = OpenIntent(
            message.change_id,
            message.base_version,
            message.suspended_key,
            peer.host,
            peer.incarnation,
            now,
        )
        acknowledged = self._local_state.open_intent(intent)
        incarnation = self._local_state.member.incarnation
        return IntentReply(acknowledged, self._local_state.known, incarnation)

    async def _abort_intent(self, peer: Peer, message: IntentAborted) -> None:
        self._record_contact(peer)
        intent = self._local_state.intents_by_change.get(message.change_id)
        if intent is not None and intent.host == peer.host:
            self._local_state.close_intent(message.change_id)

    async def _send_intent_status(
        self, peer: Peer, message: IntentStatusRequest
    ) -> IntentStatusReply:
        self._record_contact(peer)
        is_open = self._committer.is_open(message.change_id)
        return IntentStatusReply(is_open, self._local_state.member.incarnation)

    async def _install_head(self, peer: Peer, message: HeadAnnounced) -> HeadAcknowledged:
        self._record_contact(peer)
        await self._renewer.install_encoded(message.head, peer.host)
        local_state = self._local_state
        return HeadAcknowledged(
            local_state.known,
            local_state.installed,
            local_state.member.incarnation,
            local_state.change_id,
            local_state.known_era,
        )

    async def _send_head(self, peer: Peer, message: HeadRequest) -> HeadReply:
        self._record_contact(peer)
        head = self._local_state.head
        return HeadReply(None if head is None else encode_head(head))

    async def _send_object(self, peer: Peer, message: ObjectRequest) -> ObjectReply:
        self._record_contact(peer)
        return ObjectReply(self._storage.cached_content(message.name))

    async def _send_status(self, peer: Peer, message: StatusRequest) -> HostStatus:
        return host_status(self._local_state, self._record_contact(peer))

    def _record_contact(self, peer: Peer) -> float:
        now = asyncio.get_running_loop().time()
        self._last_contact.record(peer.host, now)
        return now
