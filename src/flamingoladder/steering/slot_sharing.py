"""Keeps one host's slots: follows the division, and lends to and borrows from other hosts."""

from __future__ import annotations

import asyncio
from math import isinf
from typing import TYPE_CHECKING

from flamingoladder.peers.link import Peer
from flamingoladder.steering.lease_client import HOLD_S
from flamingoladder.steering.lease_client import LeaseClient
from flamingoladder.steering.lease_manager import LeaseManager
from flamingoladder.steering.messages import Backlog
from flamingoladder.steering.messages import LeaseRequest
from flamingoladder.steering.messages import SlotsReleased
from flamingoladder.steering.slot_division import SlotDivision
from flamingoladder.steering.slot_division import longest_deadline_s
from flamingoladder.steering.slot_forecast import SlotForecast
from flamingoladder.steering.slot_table import SETTLE_S
from flamingoladder.steering.slot_table import SlotTable

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.steering.messages import LeaseReply
    from flamingoladder.steering.messages import Slot
    from flamingoladder.steering.slot_table import HeldSlot
    from flamingoladder.timeline.recorder import Recorder

MAX_BATCH = 4
LONGER_FACTOR = 1.5
NONE_WAITING = Backlog(0, 0)


class PendingLeaseRequest:
    """A question that waits until a slot of one of its services is free."""

    __slots__ = ("_answer", "peer", "question")

    def __init__(self, peer: Peer, question: LeaseRequest) -> None:
        self.peer = peer
        self.question = question
        self._answer: asyncio.Future[LeaseReply | None] = asyncio.Future()

    @property
    def is_answered(self) -> bool:
        """Return whether the answer was given."""
        return self._answer.done()

    def waiting(self, service: str) -> Backlog:
        """Return the requests that wait for slots that the question asks for."""
        if service not in self.question.wanted_by_service:
            return NONE_WAITING
        return self.question.waiting_by_service.get(service, NONE_WAITING)

    def give(self, answer: LeaseReply | None) -> None:
        """Answer the question."""
        self._answer.set_result(answer)

    async def answer(self) -> LeaseReply | None:
        """Return the answer, or None if there is none within ``HOLD_S``."""
        try:
            async with asyncio.timeout(HOLD_S):
                return await self._answer
        except TimeoutError:
            return None


class SlotSharing:
    """The slots of one host, shared with all other hosts.

    ``on_gain`` is called with the present time when slots have become usable.
    """

    __slots__ = (
        "_adopted",
        "_dropped",
        "_early",
        "_held",
        "_leasing",
        "_links",
        "_on_gain",
        "_own",
        "_recorder",
        "_running_s",
        "_state",
        "_talks_by_host",
        "_timer",
        "book",
        "division",
        "needs_by_service",
        "waiting_by_service",
    )

    def __init__(
        self,
        own: Peer,
        state: StateInForce,
        links: PeerLinks,
        recorder: Recorder,
        on_gain: Callable[[float], None],
    ) -> None:
        self.book = SlotTable()
        self.division = SlotDivision(0, {}, {})
        self.needs_by_service: dict[str, SlotForecast] = {}
        self.waiting_by_service: dict[str, int] = {}
        self._own = own
        self._state = state
        self._links = links
        self._recorder = recorder
        self._on_gain = on_gain
        self._adopted: AgreedState | None = None
        self._running_s = 0.0
        self._leasing = LeaseManager(self.book, self.needs_by_service, self.waiting_by_service)
        self._talks_by_host: dict[str, LeaseClient] = {}
        self._dropped: set[HeldSlot] = set()
        self._held: list[PendingLeaseRequest] = []
        self._early: SlotsReleased | None = None
        self._timer: asyncio.TimerHandle | None = None
        links.register(LeaseRequest, self._answer)
        links.register(SlotsReleased, self._take_over)

    def close(self) -> None:
        """Stop asking other hosts."""
        if self._timer is not None:
            self._timer.cancel()
        for talk in self._talks_by_host.values():
            talk.close()
        self._talks_by_host = {}

    def adopt(self, state: AgreedState) -> None:
        """Go over to the division of ``state``, if it is a new one."""
        earlier = self._adopted
        self._adopted = state
        now = asyncio.get_running_loop().time()
        if earlier is not None and earlier.division_version >= state.division_version:
            self._grow_later(now)
            return
        self.division = SlotDivision.from_state(state)
        for service in state.deployment.services:
            self.needs_by_service.setdefault(service, SlotForecast(now))
        self._running_s = _longest_run_s(earlier or state, state)
        known = earlier is not None and state.follows(earlier)
        self._divide(now, known=known)
        defaults = state.deployment.defaults
        self._leasing.adopt(state.division_version, longest_deadline_s(state), defaults.clock_drift)
        self._converse(state)
        self._grow_later(now)
        self._recorder.record("slots.divided", version=state.division_version, kept=known)

    def finish(self, held: HeldSlot, now: float) -> None:
        """Take in that the request on the slot has ended."""
        self.book.finish(held, now)
        self._return_if_owner_waits(held, now)
        if held in self._dropped:
            self._dropped.discard(held)
            self._hand_over([held.slot])

    def borrow_if_short(self, service: str, now: float, patience_s: float) -> None:
        """Ask the nearest hosts for slots if more may be needed than there are.

        Hosts whose round trip is longer than ``patience_s`` are not asked.
        """
        talks = self._talks_by_host.values()
        short = self._short(service, now)
        short -= sum(talk.expected(service, now) for talk in talks)
        urgent = self.waiting_by_service.get(service, 0) > 0
        for talk in talks:
            if short <= 0 or talk.round_trip_s > patience_s:
                return
            if talk.may_ask(service, now, urgent=urgent):
                wanted = min(short, MAX_BATCH)
                talk.ask(service, wanted)
                short -= talk.expected(service, now)

    def borrow_in_region(self, service: str, region: str, wanted: int, now: float) -> None:
        """Ask the hosts of a region for slots, for requests that a shift moves there."""
        for talk in self._talks_by_host.values():
            if wanted <= 0:
                return
            if talk.region == region and talk.may_ask(service, now, urgent=True):
                talk.ask(service, min(wanted, MAX_BATCH))
                wanted -= MAX_BATCH

    def lend_to_waiting(self, service: str, now: float) -> None:
        """Answer questions of hosts where more requests wait for the service than here."""
        waiting_here = self._leasing.waiting_here(service, now) if self._held else NONE_WAITING
        for held in tuple(self._held):
            if not self.book.lendable(service, now):
                return
            if held.is_answered or not self._may_lend(held.peer, now):
                continue
            if not _is_longer(held.waiting(service), waiting_here):
                continue
            if waiting_here.requests and held.peer.host in self._leasing.far_hosts:
                continue
            held.give(self._leasing.answer(held.peer, held.question, now, wins=service))

    def _short(self, service: str, now: float) -> int:
        waiting = self.waiting_by_service.get(service, 0)
        if waiting:
            return waiting
        held = self.book.slots(service)
        if any(slot.is_free(now, now) for slot in held) or not any(slot.busy for slot in held):
            return 0
        return 1

    def _divide(self, now: float, *, known: bool) -> None:
        if not known:
            self.book.suspend()
        owned = self.division.owned_by(self._own)
        dropped = self.book.divide(owned, self.division, now)
        # A slot that was not usable yet, or is lent, is not this host's to pass on.
        passed = [h for h in dropped if known and h.usable_at <= now and not h.is_lent(now)]
        self._dropped = {held for held in passed if held.busy}
        self._hand_over([held.slot for held in passed if not held.busy])
        early = self._early
        if early is not None and early.division_version == self.division.version:
            self.book.released_by_earlier_owner(early.slots, now)

    def _hand_over(self, slots: Iterable[Slot]) -> None:
        slots_by_host: dict[str, list[Slot]] = {}
        for slot in slots:
            owner = self.division.owner_of(slot)
            if owner is not None:
                slots_by_host.setdefault(owner.host, []).append(slot)
        for host, passed in slots_by_host.items():
            self._links.tell(host, SlotsReleased(self.division.version, tuple(passed)))

    async def _take_over(self, _peer: Peer, message: SlotsReleased) -> None:
        version = self.division.version
        if message.division_version == version:
            now = asyncio.get_running_loop().time()
            self.book.released_by_earlier_owner(message.slots, now)
            self._on_gain(now)
        elif message.division_version > version:
            self._early = _joined(self._early, message)

    async def _answer(self, peer: Peer, question: LeaseRequest) -> LeaseReply | None:
        loop = asyncio.get_running_loop()
        if not self._may_lend(peer, loop.time()):
            return None
        if not self._leasing.hear(peer, question, loop.time()):
            return None
        self._on_gain(loop.time())
        self._give_back(peer, question, loop.time())
        if question.wanted_by_service and question.waiting_by_service:
            answer = await self._hold(peer, question)
            if answer is not None:
                return answer
        if not self._may_lend(peer, loop.time()):
            return None
        return self._leasing.answer(peer, question, loop.time())

    def _return_if_owner_waits(self, held: HeldSlot, now: float) -> None:
        talk = self._talks_by_host.get(held.giver.host) if held.giver else None
        if talk is None:
            return
        waiting_there = talk.waiting_by_service.get(held.service, NONE_WAITING)
        if _is_longer(waiting_there, self._leasing.waiting_here(held.service, now)):
            self.book.give_up(held)
            talk.wake()

    def _may_lend(self, peer: Peer, now: float) -> bool:
        return self._state.has_proof(now) and self.division.is_member(peer)

    def _give_back(self, owner: Peer, question: LeaseRequest, now: float) -> None:
        talk = self._talks_by_host.get(owner.host)
        if talk is None:
            return
        talk.waiting_by_service = question.waiting_by_service
        if self._leasing.give_back_free(owner, question, now):
            talk.wake()

    async def _hold(self, peer: Peer, question: LeaseRequest) -> LeaseReply | None:
        """Wait until something can be granted to requests that wait at the asking host."""
        now = asyncio.get_running_loop().time()
        if self._leasing.could_grant(peer, question, now):
            return None
        held = PendingLeaseRequest(peer, question)
        self._held.append(held)
        try:
            return await held.answer()
        finally:
            self._held.remove(held)

    def _converse(self, state: AgreedState) -> None:
        unsure = {talk.peer for talk in self._talks_by_host.values() if talk.unsure}
        self.close()
        here = state.members_by_host.get(self._own.host)
        if here is None or here.incarnation != self._own.incarnation:
            return
        places = state.deployment.places
        others = [member for member in state.members if member.host != self._own.host]
        self._leasing.far_hosts = frozenset(
            member.host for member in others if member.region != here.region
        )
        others.sort(key=lambda member: places.round_trip_s(here.region, member.region))
        for there in others:
            talk = LeaseClient(
                Peer(there.host, there.incarnation),
                places.round_trip_s(here.region, there.region),
                self._links,
                self._leasing,
                self.book,
                self._on_gain,
            )
            talk.region = there.region
            talk.unsure = talk.peer in unsure
            self._talks_by_host[there.host] = talk

    def _grow_later(self, now: float) -> None:
        """Use new slots once no earlier owner can start a request and all that it started ended."""
        settles_at = self._state.division_settles_at()
        if isinf(settles_at):
            return
        grow_at = max(settles_at + self._running_s, now)
        self.book.grow_from(grow_at)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(grow_at, self._on_gain, grow_at)


def _longest_run_s(earlier: AgreedState, later: AgreedState) -> float:
    """Return how long a request may run that an earlier owner of a slot started, in seconds."""
    longest_s = max(longest_deadline_s(earlier), longest_deadline_s(later))
    return longest_s * (1 + later.deployment.defaults.clock_drift) + SETTLE_S


def _is_longer(there: Backlog, here: Backlog) -> bool:
    """Return whether requests wait so much longer there that moving a slot is worth while."""
    if not here.requests:
        return there.requests > 0
    return there.for_each_slot > LONGER_FACTOR * here.for_each_slot


def _joined(early: SlotsReleased | None, message: SlotsReleased) -> SlotsReleased:
    if early is None or early.division_version < message.division_version:
        return message
    if early.division_version > message.division_version:
        return early
    return SlotsReleased(message.division_version, early.slots + message.slots)
