"""Decides for one service which requests wait at the host."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from flamingoladder.admission.host_queue import HostQueue
from flamingoladder.admission.pace import Pace
from flamingoladder.admission.rank_shares import RankShares
from flamingoladder.admission.refusals import Repeat
from flamingoladder.admission.refusals import RepeatBudget
from flamingoladder.admission.standing import Standing

if TYPE_CHECKING:
    from flamingoladder.admission.demand import DemandEstimate
    from flamingoladder.admission.queued_request import QueuedRequest
    from flamingoladder.entry.load_balancer import Choice

RUN_WEIGHT = 0.1
BUSY_LINGER_S = 1.0
# Of the wait that the most urgent route can bear, less urgent requests may fill so much. When they
# filled all of it, 5% of the urgent requests of a replay were in time, as they also wait behind
# each other.
BEARABLE_FRACTION = 0.5


class ServiceAdmission:
    """The queue of one service, the shares of its ranks, and the mean duration of its runs.

    Load: bursts, a workspace far over its usual demand, and retry storms, while all targets of the
    service are busy.
    """

    __slots__ = (
        "_budget",
        "_busy_at",
        "_mean_run_s",
        "_shares_by_rank",
        "pace",
        "queue",
        "service",
    )

    def __init__(self, service: str, now: float) -> None:
        self.queue = HostQueue()
        self.pace = Pace(now)
        self.service = service
        self._shares_by_rank: dict[int, RankShares] = {}
        self._budget = RepeatBudget()
        self._busy_at = -inf
        self._mean_run_s: float | None = None

    def note_busy(self, now: float) -> None:
        """Note that a request found all targets busy."""
        self._busy_at = now

    def was_busy(self, now: float) -> bool:
        """Return whether a request of this host recently found all targets busy.

        While a service is short of slots, a host of several sees one free now and then, which does
        not shorten the queues of the other targets.
        """
        return now - self._busy_at < BUSY_LINGER_S

    def take_share(self, rank: int, workspace: str, now: float) -> Standing:
        """Count an arrival, and return its standing by its workspace's share of the rank."""
        return self._shares_of(rank, now).take(workspace, now)

    def standing(self, repeat: Repeat, by_share: Standing) -> Standing:
        """Return the standing of a request that finds all targets busy."""
        if repeat is Repeat.FIRST_ATTEMPT:
            return by_share
        if repeat is Repeat.DUE and self._budget.take():
            return Standing.PREFERRED_REPEAT
        return Standing.SURPLUS_REPEAT

    def max_wait_s(self, standing: Standing, bearable_s: float | None, slots: int) -> float:
        """Return the longest expected wait at a target with which a request is sent to it.

        Requests of workspaces that ask for more than their share, and repeats in a storm, queue one
        at a time at a target, so that it is not idle between two of them.
        """
        bearable = inf if bearable_s is None else BEARABLE_FRACTION * bearable_s
        if standing <= Standing.UNDER_SHARE:
            return bearable
        return min(bearable, self.expected_wait_s(1, slots))

    def run_s(self, typical_run_s: float | None) -> float:
        """Return the expected duration of a run, of which ``typical_run_s`` is a low estimate."""
        return max(typical_run_s or 0.0, self._mean_run_s or 0.0)

    def expected_wait_s(self, queue_position: int, slots: int) -> float:
        """Return the expected wait for a slot; 0 until the duration of runs is known."""
        return queue_position * (self._mean_run_s or 0.0) / slots

    def may_send(self, queued: QueuedRequest, choice: Choice) -> bool:
        """Return whether a request may be sent to the chosen target now.

        A free slot elsewhere does not count: the chosen target is better in spite of its queue,
        mostly as a run elsewhere would be cold and take the time of several warm ones.
        """
        slots = choice.target.record.slots
        return self.expected_wait_s(choice.queue_position, slots) <= queued.max_wait_s

    def update_shares(self, rank: int, demand: DemandEstimate, now: float) -> None:
        """Compute the shares of a rank from the demand of all hosts, if they are not recent."""
        shares = self._shares_of(rank, now)
        if shares.is_due(now):
            shares.update(demand.of_rank(self.service, rank, now), now)

    def record_send(self) -> None:
        """Count a request that is sent to a target."""
        self._budget.deposit()

    def record_end(self, rank: int, now: float) -> None:
        """Count a request that ended at a target."""
        self._shares_of(rank, now).record_end(now)
        self.pace.record_end(now)

    def record_run(self, seconds: float) -> None:
        """Record the duration of a run that did not wait for a slot."""
        if self._mean_run_s is None:
            self._mean_run_s = seconds
        self._mean_run_s += RUN_WEIGHT * (seconds - self._mean_run_s)

    def _shares_of(self, rank: int, now: float) -> RankShares:
        shares = self._shares_by_rank.get(rank)
        if shares is None:
            shares = self._shares_by_rank[rank] = RankShares(now)
        return shares
