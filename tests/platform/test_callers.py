"""Tests of how callers' requests are read."""

from __future__ import annotations

from http.cookies import CookieError
from http.cookies import SimpleCookie
from random import Random

import pytest

from flamingoladder.platform.callers import _affinity_key
from flamingoladder.platform.headers import AFFINITY_COOKIE

KEY = AFFINITY_COOKIE


@pytest.mark.parametrize(
    ("cookies", "key"),
    [
        ([], None),
        ([f"{KEY}=17"], "17"),
        ([f"a=b; {KEY}=17"], "17"),
        ([f"{KEY}=17; {KEY}=18"], "18"),
        ([f"{KEY}=17; Path=/"], "17"),
        ([f"Path=/; {KEY}=17"], None),
        ([f'{KEY}="a b"'], "a b"),
        ([f"{KEY}={KEY}=17"], f"{KEY}=17"),
        ([f"x{KEY}=17"], None),
        ([f"{KEY.lower()}=17"], None),
        (["a=b", f"{KEY}=17"], "17"),
        ([f"{KEY}="], ""),
    ],
)
def test_the_affinity_key_is_the_value_of_its_cookie(cookies: list[str], key: str | None) -> None:
    assert _affinity_key(cookies) == key


def test_plain_cookies_are_read_as_the_library_reads_them() -> None:
    """A cookie that is read differently would move an object to another target."""
    random = Random(1)
    parts = [KEY, KEY.lower(), "a", "Secure", "path", "=", "=", "; ", "; ", ";", " ", '"', "/", "1"]
    for _ in range(20_000):
        text = "".join(random.choices(parts, k=random.randrange(1, 9)))
        try:
            found = SimpleCookie(text).get(KEY)
        except CookieError:
            found = None
        assert _affinity_key([text]) == (None if found is None else found.value), text
