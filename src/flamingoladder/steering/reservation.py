"""A reservation of a declared target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.steering.chooser import Reservation

if TYPE_CHECKING:
    from flamingoladder.upstreams.targets import DeclaredTarget


class TargetReservation(Reservation):
    """A reserved slot of a declared target; subclasses implement ``release``."""

    __slots__ = ("_target",)

    def __init__(self, target: DeclaredTarget) -> None:
        self._target = target

    @property
    def target(self) -> str:
        """Return the target's name, ``service/target``."""
        return self._target.name

    @property
    def address(self) -> str:
        """Return the target's ``ip:port``."""
        return self._target.address

    @property
    def region(self) -> str:
        """Return the target's region."""
        return self._target.region
