"""Tests of counts in sliding windows."""

from __future__ import annotations

import pytest

from flamingoladder.soak.windows import most_in_window


@pytest.mark.parametrize(
    ("times", "most"), [([], 0), ([1.0], 1), ([0.0, 4.0], 1), ([3.0, 0.0, 3.9, 7.0], 3)]
)
def test_most_in_a_window(times: list[float], most: int) -> None:
    assert most_in_window(times, 4.0) == most
