"""A reservation that names its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.steering.chooser import Reservation

if TYPE_CHECKING:
    from flamingoladder.upstreams.targets import DeclaredTarget


class TargetReservation(Reservation):
    """A slot of a declared target; how it is given back differs."""

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
