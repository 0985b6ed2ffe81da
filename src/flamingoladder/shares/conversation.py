"""The task that asks one other host for loans."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from flamingoladder.shares.messages import LoanReply
from flamingoladder.shares.messages import LoanRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from flamingoladder.peers.link import PeerLinks
    from flamingoladder.shares.account import Account

RENEW_S = 1.0
BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
ANSWER_MARGIN_S = 0.02


class Backoff:
    """How long not to ask for an allowance after questions without an answer."""

    __slots__ = ("delay_s", "until")

    def __init__(self) -> None:
        self.delay_s = BACKOFF_S
        self.until = 0.0

    def note(self, now: float, *, answered: bool) -> None:
        """Note an answer."""
        if answered:
            self.delay_s = BACKOFF_S
            return
        self.until = now + self.delay_s
        self.delay_s = min(2 * self.delay_s, MAX_BACKOFF_S)


class Conversation:
    """Asks one host, one request at a time; each request carries all questions that are due."""

    __slots__ = (
        "_accounts",
        "_backoff_by_allowance",
        "_due",
        "_links",
        "_on_credit",
        "_task",
        "_wake",
        "expected_by_allowance",
        "host",
        "round_trip_s",
    )

    def __init__(
        self,
        host: str,
        round_trip_s: float,
        links: PeerLinks,
        accounts: Mapping[str, Account],
    ) -> None:
        self.host = host
        self.round_trip_s = round_trip_s
        self.expected_by_allowance: dict[str, int] = {}
        self._links = links
        self._accounts = accounts
        self._backoff_by_allowance: dict[str, Backoff] = {}
        self._due: dict[str, None] = {}
        self._wake = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop asking."""
        self._task.cancel()

    def may_ask(self, allowance: str, now: float) -> bool:
        """Return whether a question for the allowance may be put now."""
        if allowance in self.expected_by_allowance:
            return False
        backoff = self._backoff_by_allowance.get(allowance)
        return backoff is None or backoff.until <= now

    def ask(self, allowance: str, expected: int) -> None:
        """Put a question with the next request."""
        self.expected_by_allowance[allowance] = expected
        self._due[allowance] = None
        self._wake.set()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        renew_at = loop.time() + RENEW_S
        while True:
            if not await self._woken(renew_at):
                renew_at = loop.time() + RENEW_S
                self._renew(loop.time())
            if self._due:
                await self._exchange()

    async def _woken(self, until: float) -> bool:
        try:
            async with asyncio.timeout_at(until):
                return await self._wake.wait()
        except TimeoutError:
            return False

    def _renew(self, now: float) -> None:
        for allowance, account in self._accounts.items():
            if account.lending.should_renew(self.host, now):
                self._due[allowance] = None

    async def _exchange(self) -> None:
        loop = asyncio.get_running_loop()
        due = [allowance for allowance in self._due if allowance in self._accounts]
        self._due.clear()
        self._wake.clear()
        now = loop.time()
        lendings = [self._accounts[allowance].lending for allowance in due]
        questions = tuple(lending.question(self.host, now) for lending in lendings)
        timeout_s = 2 * self.round_trip_s + ANSWER_MARGIN_S
        reply = await self._links.ask(self.host, LoanRequest(questions), timeout_s)
        self._credit(due, reply if isinstance(reply, LoanReply) else LoanReply(()), loop.time())

    def _credit(self, due: list[str], reply: LoanReply, now: float) -> None:
        answers = {answer.allowance: answer for answer in reply.answers}
        for allowance in due:
            answer = answers.get(allowance)
            account = self._accounts.get(allowance)
            if answer is not None and account is not None:
                account.lending.credit(self.host, answer, now)
            if self.expected_by_allowance.pop(allowance, None) is not None:
                backoff = self._backoff_by_allowance.setdefault(allowance, Backoff())
                backoff.note(now, answered=answer is not None)
            if account is not None:
                account.serve(now)
