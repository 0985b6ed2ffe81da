"""A request in the queue of a host."""

from __future__ import annotations

from sys import maxsize
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.admission.arrival import Arrival
    from flamingoladder.admission.standing import Standing


class QueuedRequest:
    """A request in the queue.

    If it is sent by ``prompt_by``, its answer is expected when it is wanted. It leaves by
    ``leave_by``: later it can't end by its admission deadline. It is not sent while the wait at the
    target would be longer than ``max_wait_s``, nor to the targets ``tried``. ``target_id`` is the
    target chosen last.
    """

    __slots__ = (
        "arrival",
        "leave_by",
        "max_wait_s",
        "number",
        "prompt_by",
        "standing",
        "target_id",
        "tried",
    )

    def __init__(
        self,
        arrival: Arrival,
        standing: Standing,
        max_wait_s: float,
        prompt_by: float,
        leave_by: float,
        target_id: str = "",
        tried: tuple[str, ...] = (),
    ) -> None:
        self.arrival = arrival
        self.standing = standing
        self.max_wait_s = max_wait_s
        self.prompt_by = prompt_by
        self.leave_by = leave_by
        self.target_id = target_id
        self.tried = tried
        # Until it is queued, it goes behind those that are like it.
        self.number = maxsize

    @property
    def order(self) -> tuple[int, Standing, float, int]:
        """Return the sort key: rank, share of the workspace, wanted time, arrival."""
        return (self.arrival.rank, self.standing, self.prompt_by, self.number)
