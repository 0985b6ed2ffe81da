"""A request as admission sees it."""

from __future__ import annotations

import msgspec

from flamingoladder.admission.refusals import Repeat
from flamingoladder.admission.standing import Standing
from flamingoladder.entry.request import RoutedRequest


class Arrival(msgspec.Struct, frozen=True):
    """A request with its ``rank`` (0 is the most urgent), and whether it repeats a refused one.

    ``by_share`` is its standing by its workspace's fair share of the rank.
    """

    request: RoutedRequest
    rank: int
    repeat: Repeat
    by_share: Standing

    @property
    def workspace(self) -> str:
        """Return the name of the request's workspace; empty without one."""
        return self.request.workspace_name or ""

    @property
    def wanted_at(self) -> float:
        """Return when the answer is wanted, in monotonic seconds."""
        return self.request.started + self.request.route.latency_slo_s
