"""Tests that rows of other writers are unreadable at worst, whatever they hold."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from flamingoladder.platform.configuration import decode_configuration
from flamingoladder.platform.exceptions import UnreadableRowError
from flamingoladder.platform.registry import decode_entry
from tests.platform.test_configuration import document

if TYPE_CHECKING:
    from collections.abc import Callable

VARIANTS = 3_000
FOREIGN: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    10**30,
    1e308,
    -1e308,
    "",
    "NaN",
    "\0",
    "x" * 10_000,
    [],
    [[]],
    {},
    {"a": {}},
)
ENTRY = {
    "service": "a",
    "address": "10.0.0.1:80",
    "zone": "north-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmup_left_s": 0.0,
    "seq": 7,
    "born": 1783689222229,
}


def _changed(value: Any, random: Random) -> Any:
    """Return ``value`` with one place in it replaced or left out."""
    if isinstance(value, dict) and value and random.random() < 0.9:
        key = random.choice(sorted(value))
        rest = {name: kept for name, kept in value.items() if name != key}
        return rest if random.random() < 0.1 else {**rest, key: _changed(value[key], random)}
    if isinstance(value, list) and value and random.random() < 0.9:
        index = random.randrange(len(value))
        return [*value[:index], _changed(value[index], random), *value[index + 1 :]]
    return random.choice(FOREIGN)


@pytest.mark.parametrize(
    ("decode", "good"),
    [
        (decode_configuration, document()),
        (lambda value: decode_entry("i-1", value), ENTRY),
    ],
)
def test_a_foreign_row_is_read_or_unreadable(
    decode: Callable[[bytes], object], good: dict[str, Any]
) -> None:
    random = Random(5)
    decode(msgspec.json.encode(good))
    for _ in range(VARIANTS):
        value = msgspec.json.encode(_changed(good, random))
        cut = value[: random.randrange(len(value))] if random.random() < 0.1 else value
        try:
            decode(cut)
        except UnreadableRowError:
            continue
