"""Checks of what targets get after what they said of themselves, from arrivals there."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from flamingoladder.platform.standins.deployment import BOUNDS
from flamingoladder.soak.broken import Broken

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from flamingoladder.platform.standins.targets import TargetArrival
    from flamingoladder.soak.history import History
    from flamingoladder.soak.history import Sent

OK = 200
PAUSE_SLACK_S = 0.5
MAX_SENT_IN_PAUSE = 2


class TargetChecks:
    """Compares what targets said with what came to them from the hosts that heard it."""

    __slots__ = ("_arrivals_by_link", "_history", "_sent_by_id")

    def __init__(
        self, history: History, sent_by_id: Mapping[str, Sent], arrivals: Iterable[TargetArrival]
    ) -> None:
        self._history = history
        self._sent_by_id = sent_by_id
        self._arrivals_by_link: dict[tuple[str, str], list[TargetArrival]] = {}
        for arrival in arrivals:
            sent = sent_by_id.get(arrival.request_id)
            if sent is not None:
                link = (sent.host, arrival.target_id)
                self._arrivals_by_link.setdefault(link, []).append(arrival)

    def broken(self) -> list[Broken]:
        """Return all promises to targets that were broken."""
        return [*self._sent_in_pauses(), *self._sent_to_targets_that_said_they_leave()]

    def _sent_in_pauses(self) -> Iterable[Broken]:
        for (host, target_id), arrivals in self._arrivals_by_link.items():
            for first in arrivals:
                since = first.at + PAUSE_SLACK_S
                later = [of for of in arrivals if since < of.at < first.paused_until]
                is_bound = not self._history.was_disturbed(host, first.at, first.paused_until)
                if len(later) > MAX_SENT_IN_PAUSE and is_bound:
                    evidence = f"{host}: {len(later)} to {target_id} after {first}"
                    yield Broken("a target gets nothing in the pause that it named", evidence)

    def _sent_to_targets_that_said_they_leave(self) -> Iterable[Broken]:
        for (host, target_id), arrivals in self._arrivals_by_link.items():
            passed_on = [
                self._sent_by_id[of.request_id].ended_at
                for of in arrivals
                if of.says_leaving and self._sent_by_id[of.request_id].status == OK
            ]
            told_at = min(passed_on, default=inf)
            for arrival in arrivals:
                sent_at = self._sent_by_id[arrival.request_id].sent_at
                is_late = sent_at > told_at + BOUNDS.propagation_s
                if is_late and not self._history.was_disturbed(host, told_at, arrival.at):
                    evidence = f"{host}, told {told_at}: {arrival} at {target_id}"
                    yield Broken("a target that says it leaves gets no new work", evidence)
