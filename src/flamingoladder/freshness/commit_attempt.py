"""One attempt to commit a change on top of the head in the table."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

import msgspec
from msgspec.structs import replace

from flamingoladder.freshness.changes import NO_STATE_VERSION
from flamingoladder.freshness.changes import Rejection
from flamingoladder.freshness.commit_results import CommitRefused
from flamingoladder.freshness.commit_results import RefusalKind
from flamingoladder.freshness.exceptions import StateUnreadableError
from flamingoladder.freshness.head import Head
from flamingoladder.freshness.head import encode_state
from flamingoladder.freshness.intents import IntentEnd
from flamingoladder.freshness.messages import Intent
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.freshness.changes import Change
    from flamingoladder.freshness.head import EncodedHead
    from flamingoladder.freshness.head_storage import HeadStorage
    from flamingoladder.freshness.head_storage import StoredHead
    from flamingoladder.freshness.intents import IntentRound
    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.proof_renewer import ProofRenewer


class PendingChange:
    """A change on its way. ``unknown_base`` is the base of a write whose answer was lost."""

    __slots__ = ("change", "change_id", "unknown_base")

    def __init__(self, change_id: str, change: Change) -> None:
        self.change_id = change_id
        self.change = change
        self.unknown_base: int | None = None

    def refused(self, kind: RefusalKind, detail: str, present: int) -> CommitRefused:
        """Return the refusal; it is of unknown outcome while a lost answer is unresolved."""
        if self.unknown_base is not None:
            kind = RefusalKind.OUTCOME_UNKNOWN
        return CommitRefused(self.change_id, kind, detail, present)


class Committed(msgspec.Struct, frozen=True):
    """The change is part of ``head``; ``locked`` if a majority refused its key before."""

    head: Head
    locked: bool


class Retry(msgspec.Struct, frozen=True):
    """The attempt changed nothing that is known of; another one may succeed."""

    why: str


AttemptEnd: TypeAlias = Committed | CommitRefused | Retry


class Attempts:
    """Makes attempts for one host."""

    __slots__ = ("_intents", "_knowledge", "_renewer", "_storage")

    def __init__(
        self,
        knowledge: LocalState,
        storage: HeadStorage,
        renewer: ProofRenewer,
        intents: IntentRound,
    ) -> None:
        self._knowledge = knowledge
        self._storage = storage
        self._renewer = renewer
        self._intents = intents

    async def make(self, pending: PendingChange) -> AttemptEnd:
        """Read the head and commit the change on top of it."""
        try:
            base = await self._storage.read()
        except (PlatformError, StateUnreadableError) as error:
            return self._refused(pending, RefusalKind.STORE_UNAVAILABLE, str(error))
        if base.head is not None and not await self._renewer.install(base.head):
            detail = f"a part of version {base.head.version} can't be read"
            return self._refused(pending, RefusalKind.STORE_UNAVAILABLE, detail)
        if base.head is not None and base.head.has_change(pending.change_id):
            pending.unknown_base = None
            return Committed(base.head, pending.change.suspended_key is not None)
        self._settle_lost_answer(pending, base)
        return await self._apply(pending, base)

    def _settle_lost_answer(self, pending: PendingChange, base: StoredHead) -> None:
        """Once the head has moved on without the change, the lost write can't take effect."""
        if pending.unknown_base is not None and self._version(base) > pending.unknown_base:
            pending.unknown_base = None

    async def _apply(self, pending: PendingChange, base: StoredHead) -> AttemptEnd:
        state = self._knowledge.state
        if self._knowledge.installed != self._version(base):
            return Retry("the head was outdated")
        changed = pending.change.create() if state is None else pending.change.apply(state)
        if isinstance(changed, Rejection):
            kind = RefusalKind.CONFLICT if changed.conflict else RefusalKind.REJECTED
            return self._refused(pending, kind, changed.reason)
        if base.head is not None and changed == state:
            return Committed(base.head, False)
        recent = base.head.recent if base.head else ()
        encoded = encode_state(_next_version(state, changed), pending.change_id, recent)
        return await self._write(pending, base, encoded)

    async def _write(
        self, pending: PendingChange, base: StoredHead, encoded: EncodedHead
    ) -> AttemptEnd:
        try:
            await self._storage.put_objects(encoded)
        except PlatformError as error:
            return self._refused(pending, RefusalKind.STORE_UNAVAILABLE, str(error))
        members_by_host = self._knowledge.members_by_host
        key_id = pending.change.suspended_key
        intent = Intent(pending.change_id, self._version(base), key_id)
        end = await self._intents.run(intent, members_by_host)
        if end is IntentEnd.OUTDATED:
            return Retry("another host knows a newer version")
        if end is IntentEnd.TOO_FEW:
            detail = f"no majority of {len(members_by_host)} hosts acknowledged the change"
            return self._refused(pending, RefusalKind.NO_MAJORITY, detail)
        return await self._replace(pending, base, encoded)

    async def _replace(
        self, pending: PendingChange, base: StoredHead, encoded: EncodedHead
    ) -> AttemptEnd:
        try:
            commit = await self._storage.replace(base, encoded.head, pending.change.conditions)
        except OutcomeUnknownError as error:
            pending.unknown_base = self._version(base)
            return Retry(str(error))
        except PlatformError as error:
            return self._refused(pending, RefusalKind.STORE_UNAVAILABLE, str(error))
        if not commit.committed:
            return Retry("the head was changed meanwhile")
        pending.unknown_base = None
        self._storage.adopt(encoded)
        await self._renewer.install(encoded.head)
        return Committed(encoded.head, pending.change.suspended_key is not None)

    def _refused(self, pending: PendingChange, kind: RefusalKind, detail: str) -> CommitRefused:
        return pending.refused(kind, detail, self._knowledge.installed)

    @staticmethod
    def _version(base: StoredHead) -> int:
        return base.head.version if base.head else NO_STATE_VERSION


def _next_version(state: AgreedState | None, changed: AgreedState) -> AgreedState:
    version = changed.version + 1
    divided_anew = (
        state is None or state.members != changed.members or state.deployment != changed.deployment
    )
    if divided_anew:
        changed = replace(
            changed,
            division_version=version,
            previous_division_version=changed.division_version,
        )
    if state is None or state.deployment != changed.deployment:
        changed = replace(changed, configuration_version=version)
    return replace(changed, version=version)
