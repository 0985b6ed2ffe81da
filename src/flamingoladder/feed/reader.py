"""What takes in the rows of a table."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingoladder.storage.feed import StoredRow


class TableReader(ABC):
    """Takes in the rows of one table. Times are monotonic seconds."""

    @abstractmethod
    def replace(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in all rows that there are."""

    @abstractmethod
    def change(self, rows: Sequence[StoredRow], now: float) -> None:
        """Take in the rows that changed, in the order of their changes."""

    @abstractmethod
    def went_back(self, rows: Sequence[StoredRow], now: float) -> None:
        """Note that the store came back from an older copy, in which there are just ``rows``.

        What is certain to be news follows by ``change``.
        """

    @abstractmethod
    def regained(self, now: float) -> None:
        """Note that the store answers again after it could not be reached."""
