"""Fingerprints by which a repeated request is known again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

# From the widest to the narrowest: what is asked, by which key, and from where.
Fingerprints = tuple[int, ...]

SEPARATOR = "\0"


def fingerprints_of(
    names: Sequence[str], body: bytes, identities: Iterable[Sequence[str]]
) -> Fingerprints:
    """Return 64-bit fingerprints of names and body alone, then with each of the identities.

    Each identity adds to the ones before it. A caller may change one of them between repeats, and
    may share the wider ones with callers whose requests are harmless; so ends of targets count
    for all fingerprints, and answers clear only those that they bear.
    """
    digest = xxhash.xxh3_64(body)
    digest.update(SEPARATOR.join((str(len(body)), *names)).encode())
    found = [digest.intdigest()]
    for identity in identities:
        digest.update(SEPARATOR.join((SEPARATOR, *identity)).encode())
        found.append(digest.intdigest())
    return tuple(found)
