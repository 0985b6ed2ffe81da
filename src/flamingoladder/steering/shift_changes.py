"""Changes that start and end traffic shifts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from flamingoladder.freshness.changes import Change
from flamingoladder.freshness.changes import Rejection

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.config.agreed import Shift


class StartShift(Change):
    """Starts a traffic shift; its id must not be in use by another shift."""

    __slots__ = ("shift",)

    def __init__(self, shift: Shift) -> None:
        self.shift = shift

    @property
    def scope(self) -> str:
        """Return ``shift:<id>``."""
        return f"shift:{self.shift.shift_id}"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Add the shift."""
        if self.shift in state.shifts:
            return state
        if any(shift.shift_id == self.shift.shift_id for shift in state.shifts):
            return Rejection(f"shift {self.shift.shift_id} is already on")
        if self.shift.service not in state.deployment.services:
            return Rejection(f"no service {self.shift.service}")
        regions = {self.shift.from_region, self.shift.to_region}
        unknown = regions - set(state.deployment.places.regions)
        if unknown:
            return Rejection(f"no region {sorted(unknown)[0]}")
        return replace(state, shifts=(*state.shifts, self.shift))


class EndShift(Change):
    """Ends a traffic shift."""

    __slots__ = ("shift_id",)

    def __init__(self, shift_id: str) -> None:
        self.shift_id = shift_id

    @property
    def scope(self) -> str:
        """Return ``shift:<id>``."""
        return f"shift:{self.shift_id}"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Remove the shift."""
        others = tuple(shift for shift in state.shifts if shift.shift_id != self.shift_id)
        if len(others) == len(state.shifts):
            return state
        return replace(state, shifts=others)
