"""Holds each workspace to its rate and burst over all hosts together."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from flamingoladder.gateway.stages import Admission
from flamingoladder.shares.account import Account
from flamingoladder.shares.adoptions import Adoptions
from flamingoladder.shares.asking import hosts_to_ask
from flamingoladder.shares.asking import round_trip_s
from flamingoladder.shares.conversation import Conversation
from flamingoladder.shares.division import Division
from flamingoladder.shares.division import follows
from flamingoladder.shares.division import workspace_allowance
from flamingoladder.shares.lending import Lending
from flamingoladder.shares.messages import DivisionAdopted
from flamingoladder.shares.messages import LoanReply
from flamingoladder.shares.messages import LoanRequest
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.peers.link import Peer
    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.shares.messages import LoanAnswer
    from flamingoladder.shares.messages import LoanQuestion
    from flamingoladder.timeline.recorder import Recorder

MS_PER_S = 1_000


class ShareAdmission(Admission):
    """Admits requests against this host's part of each workspace's allowance."""

    __slots__ = (
        "_accounts",
        "_adopted",
        "_adoptions",
        "_conversations",
        "_division",
        "_host",
        "_incarnation",
        "_links",
        "_longest_trip_s",
        "_recorder",
        "_settled_at",
        "_state",
        "_subscription",
        "held",
    )

    def __init__(
        self,
        links: PeerLinks,
        state: StateInForce,
        recorder: Recorder,
        host: str,
        incarnation: str,
    ) -> None:
        self.held = 0
        self._links = links
        self._state = state
        self._recorder = recorder
        self._host = host
        self._incarnation = incarnation
        self._accounts: dict[str, Account] = {}
        self._conversations: dict[str, Conversation] = {}
        self._longest_trip_s = 0.0
        self._settled_at = inf
        self._adopted: AgreedState | None = None
        self._division = Division(0, {}, {})
        self._adoptions = Adoptions()
        links.register(LoanRequest, self._answer)
        links.register(DivisionAdopted, self._note_adoption)
        self._subscription = state.changes.subscribe(self._adopt)

    @classmethod
    def from_config(
        cls,
        links: PeerLinks,
        state: StateInForce,
        recorder: Recorder,
        host: str,
        incarnation: str,
    ) -> ShareAdmission:
        """Return an admission that follows ``state``; an event loop must be running."""
        return cls(links, state, recorder, host, incarnation)

    def close(self) -> None:
        """Stop asking other hosts."""
        self._subscription.dispose()
        self._end_conversations()

    async def admit(self, request: CallerRequest) -> Refusal | None:
        """Return None once the request is paid for, or a refusal ``NOT_RUN``.

        A request on an open route has no workspace and isn't limited.
        """
        if request.workspace is None:
            return None
        now = asyncio.get_running_loop().time()
        account = self._accounts.get(workspace_allowance(request.workspace))
        if account is None:
            return self._refuse(request.workspace, None)
        if not self._state.has_proof(now):
            return _without_proof()
        account.lending.demand.arrive(now)
        if account.pay(now):
            return None
        return await self._hold(account, request, now)

    async def _hold(self, account: Account, request: CallerRequest, now: float) -> Refusal | None:
        if not account.is_worth_holding(self._hold_s, now):
            return self._refuse(request.workspace, account)
        self.held += 1
        if await account.wait(min(request.deadline, now + self._hold_s)):
            return None
        if not self._state.has_proof(asyncio.get_running_loop().time()):
            return _without_proof()
        return self._refuse(request.workspace, account)

    @property
    def _hold_s(self) -> float:
        if self._adopted is None:
            return 0.0
        return self._adopted.deployment.defaults.hold_ms / MS_PER_S

    def _refuse(self, workspace: str | None, account: Account | None) -> Refusal:
        detail = f"workspace {workspace} is over its rate and burst"
        retry_after_s = None if account is None else account.retry_after_s()
        return Refusal.not_run(Reason.RATE_EXCEEDED, detail, retry_after_s)

    async def _answer(self, peer: Peer, request: LoanRequest) -> LoanReply:
        now = asyncio.get_running_loop().time()
        if not self._may_lend_to(peer, now):
            return LoanReply(())
        answers = [self._answered(peer.host, question, now) for question in request.questions]
        return LoanReply(tuple(answer for answer in answers if answer is not None))

    def _answered(self, taker: str, question: LoanQuestion, now: float) -> LoanAnswer | None:
        account = self._accounts.get(question.allowance)
        if account is None:
            return None
        return account.lending.answer(taker, question, now)

    def _may_lend_to(self, peer: Peer, now: float) -> bool:
        if not self._state.has_proof(now):
            return False
        return self._division.is_member(peer.host, peer.incarnation)

    def _adopt(self, state: AgreedState) -> None:
        earlier = self._adopted
        self._adopted = state
        now = asyncio.get_running_loop().time()
        if earlier is not None and earlier.division_version >= state.division_version:
            self._settle(now)
            return
        self._division = Division.from_state(state)
        kept = earlier is not None and follows(earlier, state)
        self._expect_adoptions(earlier if kept else None, state, now)
        self._divide(state, now, kept=kept)
        self._converse(state)
        self._announce(earlier, state)
        self._grow_early(now)
        self._recorder.record("shares.divided", version=state.division_version, kept=kept)

    def _expect_adoptions(
        self, earlier: AgreedState | None, state: AgreedState, now: float
    ) -> None:
        if earlier is None or not self._is_settled(now):
            self._adoptions.expect_nothing()
        else:
            self._adoptions.expect(earlier, state, self._host)
        self._settled_at = self._state.division_settles_at()

    def _settle(self, now: float) -> None:
        """Take in from when nobody can act on an earlier division."""
        settles_at = self._state.division_settles_at()
        self._settled_at = min(self._settled_at, settles_at)
        for account in self._accounts.values():
            account.lending.bucket.grow_from(settles_at)
            account.serve(now)

    def _is_settled(self, now: float) -> bool:
        """Return whether nobody can hold a part of a division before the last one."""
        return now >= self._settled_at

    def _announce(self, earlier: AgreedState | None, state: AgreedState) -> None:
        before = earlier.members_by_host if earlier is not None else {}
        for host in (before | state.members_by_host).keys() - {self._host}:
            self._links.tell(host, DivisionAdopted(state.division_version))

    async def _note_adoption(self, peer: Peer, message: DivisionAdopted) -> None:
        self._adoptions.note(peer, (message.division_version,))
        self._grow_early(asyncio.get_running_loop().time())

    def _grow_early(self, now: float) -> None:
        if not self._adoptions.all_adopted():
            return
        self._adoptions.expect_nothing()
        self._settled_at = now
        for account in self._accounts.values():
            account.lending.bucket.grow(now)
            account.serve(now)

    def _divide(self, state: AgreedState, now: float, *, kept: bool) -> None:
        defaults = state.deployment.defaults
        may_grow_at = self._state.division_settles_at()
        for allowance in self._division.total_by_allowance:
            account = self._accounts.get(allowance)
            if account is None:
                account = self._open(allowance, defaults.clock_drift, now)
            part = self._division.part_of(allowance, self._host, self._incarnation)
            account.lending.adopt(self._division, part, may_grow_at, now, follows=kept)
            account.serve(now)
        for allowance in set(self._accounts) - set(self._division.total_by_allowance):
            del self._accounts[allowance]

    def _open(self, allowance: str, drift: float, now: float) -> Account:
        lending = Lending(allowance, drift, now)
        account = Account(lending, self._state, self._ask_if_short)
        self._accounts[allowance] = account
        return account

    def _converse(self, state: AgreedState) -> None:
        self._end_conversations()
        self._longest_trip_s = 0.0
        here = state.members_by_host.get(self._host)
        if here is None or here.incarnation != self._incarnation:
            return
        for there in state.members:
            if there.host == self._host:
                continue
            trip_s = round_trip_s(state.deployment.places, here, there)
            self._conversations[there.host] = Conversation(
                there.host, trip_s, self._links, self._accounts
            )
            self._longest_trip_s = max(self._longest_trip_s, trip_s)

    def _end_conversations(self) -> None:
        for conversation in self._conversations.values():
            conversation.close()
        self._conversations.clear()

    def _ask_if_short(self, account: Account, now: float) -> None:
        self._give_back(account, now)
        lending = account.lending
        if not lending.is_short(self._longest_trip_s, now):
            return
        allowance = lending.allowance
        conversations = self._conversations.values()
        underway = sum(talk.expected_by_allowance.get(allowance, 0) for talk in conversations)
        round_trips = {
            talk.host: talk.round_trip_s for talk in conversations if talk.may_ask(allowance, now)
        }
        for candidate in hosts_to_ask(lending, round_trips, underway, now):
            self._conversations[candidate.host].ask(allowance, candidate.expected)

    def _give_back(self, account: Account, now: float) -> None:
        lending = account.lending
        for giver in lending.owed_hosts(now):
            talk = self._conversations[giver]
            if talk.may_ask(lending.allowance, now):
                talk.ask(lending.allowance, 0)


def _without_proof() -> Refusal:
    return Refusal.not_run(Reason.NO_PROOF, "this host has no proof of what is in force")
