"""Fingerprints by which a repeated request is known again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from flamingoladder.memory.body import PartedBody

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from flamingoladder.memory.body import Content

# From the widest to the narrowest: what is asked, by which key, and from where.
Fingerprints = tuple[int, ...]

SEPARATOR = "\0"


def fingerprints_of(
    names: Sequence[str], body: Content, identities: Iterable[Sequence[str]]
) -> Fingerprints:
    """Return 64-bit fingerprints of names and body alone, then with each of the identities.

    Each identity adds to the ones before it. A caller may change one of them between repeats, and
    may share the wider ones with callers whose requests are harmless; so ends of targets count
    for all fingerprints, and answers clear only those that they bear.
    """
    digest = _digest_of(body)
    digest.update(SEPARATOR.join((str(len(body)), *names)).encode())
    found = [digest.intdigest()]
    for identity in identities:
        digest.update(SEPARATOR.join((SEPARATOR, *identity)).encode())
        found.append(digest.intdigest())
    return tuple(found)


def _digest_of(body: Content) -> xxhash.xxh3_64:
    """Return the digest of a body, for a parted one the one that was kept while it arrived."""
    if not isinstance(body, PartedBody):
        return xxhash.xxh3_64(body)
    if body.digest is not None:
        return body.digest.copy()
    digest = xxhash.xxh3_64()
    for part in body.parts():
        digest.update(part)
    return digest
