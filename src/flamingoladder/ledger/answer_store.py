"""Keeps large answers in the object store, and small ones in the row itself."""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING

from flamingoladder.ledger.entries import ANSWER_NOT_KEPT
from flamingoladder.ledger.rows import StoredOutcome
from flamingoladder.ledger.rows import decode_answer
from flamingoladder.ledger.rows import encode
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from flamingoladder.storage.objects import ObjectStore
    from flamingoladder.verdict import Outcome

ROW_ANSWER_BYTES = 4_096
OBJECT_TIMEOUT_S = 1.0


class AnswerStore:
    """Moves answers between their kept form in a row and the object store."""

    __slots__ = ("_objects",)

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    async def stored(self, kept: StoredOutcome) -> StoredOutcome:
        """Return what to write into the row, after a large answer has been stored.

        :raises PlatformError: if the object store did not confirm the answer.
        """
        if kept.answer is None or kept.size_bytes <= ROW_ANSWER_BYTES:
            return kept
        content = encode(kept.answer)
        name = f"answers/{sha256(content).hexdigest()}"
        await self._objects.put(name, content, OBJECT_TIMEOUT_S)
        return StoredOutcome(object_name=name)

    async def fetched(self, kept: StoredOutcome) -> Outcome:
        """Return the outcome, with a large answer read from the object store.

        An answer that can't be read gives a refusal with the verdict ``RAN``.
        """
        if kept.object_name is None:
            return kept.as_outcome()
        try:
            content = await self._objects.get(kept.object_name, OBJECT_TIMEOUT_S)
        except PlatformError:
            content = None
        if content is None:
            return StoredOutcome(refusal=ANSWER_NOT_KEPT).as_outcome()
        return StoredOutcome(answer=decode_answer(content)).as_outcome()
