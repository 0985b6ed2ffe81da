"""Fingerprints by which a repeated request is known again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

# From the widest to the narrowest: what is asked, by which key, and from where.
Fingerprints = tuple[int, ...]


def fingerprints_of(
    content: Iterable[str | bytes], identities: Iterable[Iterable[str]]
) -> Fingerprints:
    """Return 64-bit fingerprints of the content alone, then with each of the identities.

    Each identity adds to the ones before it. A caller may change one of them between repeats, and
    may share the wider ones with callers whose requests are harmless; so ends of targets count
    for all fingerprints, and answers clear only those that they bear.
    """
    digest = xxhash.xxh3_64()
    _add(digest, content)
    found = [digest.intdigest()]
    for identity in identities:
        _add(digest, identity)
        found.append(digest.intdigest())
    return tuple(found)


def _add(digest: xxhash.xxh3_64, parts: Iterable[str | bytes]) -> None:
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "little"))
        digest.update(data)
