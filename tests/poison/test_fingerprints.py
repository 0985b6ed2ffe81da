"""Tests of fingerprints."""

from __future__ import annotations

import pytest

from flamingoladder.poison.fingerprints import fingerprints_of

SAME = fingerprints_of(("turf", "GET"), b"body", (("key",), ("10.0.0.1",)))


@pytest.mark.parametrize(
    ("names", "body", "identities", "alike"),
    [
        (("turf", "GET"), b"body", (("key",), ("10.0.0.1",)), [True, True, True]),
        (("turf", "GET"), b"body", (("key",), ("10.0.0.2",)), [True, True, False]),
        (("turf", "GET"), b"body", (("key2",), ("10.0.0.1",)), [True, False, False]),
        (("turf", "GET"), b"bodies", (("key",), ("10.0.0.1",)), [False, False, False]),
        (("turf", "GETb"), b"ody", (("key",), ("10.0.0.1",)), [False, False, False]),
        (("turfG", "ET"), b"body", (("key",), ("10.0.0.1",)), [False, False, False]),
        (("turf", "GET"), b"body", (("key", "10.0.0.1"), ("",)), [True, False, False]),
    ],
)
def test_each_identity_narrows_the_fingerprint(
    names: tuple[str, ...],
    body: bytes,
    identities: tuple[tuple[str, ...], ...],
    alike: list[bool],
) -> None:
    found = fingerprints_of(names, body, identities)
    assert [one == other for one, other in zip(found, SAME, strict=True)] == alike
