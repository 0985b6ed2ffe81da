"""One host's copy of the agreed state, its open intents and its proof."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
from reactivex.subject import ReplaySubject

from flamingoladder.freshness import guards
from flamingoladder.freshness.changes import NO_STATE_VERSION
from flamingoladder.keys.changes import with_keys_withdrawn

if TYPE_CHECKING:
    from collections.abc import Collection

    from reactivex import Observable

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.freshness.head import Head
    from flamingoladder.members.member import Member


class OpenIntent(msgspec.Struct, frozen=True):
    """A change announced by the given incarnation of ``host``, whose outcome is not known yet.

    ``since`` is the monotonic time in seconds at which this host received the intent, ``era`` the
    store's era then.
    """

    change_id: str
    base_version: int
    suspended_key: str | None
    host: str
    incarnation: str
    since: float
    era: int | None = None


class LocalState:
    """The newest state, open intents and proof of one host.

    ``effective`` is ``state`` with those keys withdrawn whose withdrawal may have been committed.
    ``known`` is the newest version observed, which may be above the installed one. ``era`` is the
    store's, None before its first answer, and ``known_era`` the newest that others have named too.
    ``stored_version`` is that of the head when this host read or wrote it last, in ``stored_era``.
    ``doubted_keys`` are those whose withdrawal may have been lost with an earlier era. For
    ``last_removal_at`` see ``guards.may_shorten_wait``.
    """

    __slots__ = (
        "_division_known_at",
        "_peer_suspended_keys",
        "_proof_asked_at",
        "_subject",
        "doubted_keys",
        "effective",
        "era",
        "head",
        "intents_by_change",
        "known",
        "known_era",
        "last_removal_at",
        "member",
        "state",
        "stored_era",
        "stored_version",
    )

    def __init__(self, member: Member) -> None:
        self.member = member
        self.head: Head | None = None
        self.state: AgreedState | None = None
        self.effective: AgreedState | None = None
        self.known = NO_STATE_VERSION
        self.era: int | None = None
        self.known_era = 0
        self.doubted_keys: frozenset[str] = frozenset()
        self.stored_version = NO_STATE_VERSION
        self.stored_era = 0
        self.intents_by_change: dict[str, OpenIntent] = {}
        self.last_removal_at = math.inf
        self._proof_asked_at = -math.inf
        self._division_known_at = math.inf
        self._peer_suspended_keys: frozenset[str] = frozenset()
        self._subject: ReplaySubject[AgreedState] = ReplaySubject(buffer_size=1)

    @property
    def changes(self) -> Observable[AgreedState]:
        """Return the stream of effective states."""
        return self._subject

    @property
    def installed(self) -> int:
        """Return the version that this host acts on, 0 before the first."""
        return self.state.version if self.state else NO_STATE_VERSION

    @property
    def members_by_host(self) -> dict[str, Member]:
        """Return the registered hosts by name."""
        return self.state.members_by_host if self.state else {}

    @property
    def is_registered(self) -> bool:
        """Return whether this incarnation is registered."""
        return guards.is_registered(self.member, self.members_by_host)

    @property
    def suspended_keys(self) -> frozenset[str]:
        """Return the ids of the keys whose withdrawal may have been committed."""
        key_ids = (intent.suspended_key for intent in self.intents_by_change.values())
        return frozenset(key_id for key_id in key_ids if key_id is not None)

    @property
    def wait_s(self) -> float:
        """Return the seconds after which every proof requested earlier has expired on its host."""
        if self.state is None or self.head is None:
            return math.inf
        return self.head.longest_proof_s * (1 + self.state.deployment.defaults.clock_drift)

    @property
    def division_is_known(self) -> bool:
        """Return whether a majority knows the current division of allowances among the hosts."""
        return not math.isinf(self._division_known_at)

    @property
    def division_settles_at(self) -> float:
        """Return the time from which no host can act on an earlier division, or infinity."""
        return self._division_known_at + self.wait_s

    def has_proof(self, now: float) -> bool:
        """Return whether nothing newer than the state can be in force at ``now``."""
        if self.state is None or not self.is_registered:
            return False
        return guards.proof_is_valid(
            self._proof_asked_at, self.state.deployment.defaults.proof_s, now
        )

    def proof_age_s(self, now: float) -> float | None:
        """Return the age of the newest proof in seconds, or None before the first."""
        return None if math.isinf(self._proof_asked_at) else now - self._proof_asked_at

    def observe_version(self, version: int) -> None:
        """Record that a message or the store has named ``version``."""
        self.known = max(self.known, version)

    def install(self, head: Head, state: AgreedState, now: float) -> bool:
        """Install ``state`` if it is newer than the installed one; return whether it is."""
        self.observe_version(state.version)
        if not guards.may_install(state.version, self.installed):
            return False
        self._record_removal(state, now)
        self._record_division(state, now)
        self.head = head
        self.state = state
        self._peer_suspended_keys = frozenset()
        self._close_settled_intents()
        self._publish(always=True)
        return True

    def open_intent(self, intent: OpenIntent) -> bool:
        """Record an intent if no version above its base is known; return whether it is recorded."""
        self.observe_version(intent.base_version)
        if not guards.may_acknowledge(intent.base_version, self.known):
            return False
        self.intents_by_change[intent.change_id] = msgspec.structs.replace(intent, era=self.era)
        self._publish()
        return True

    def close_intent(self, change_id: str) -> None:
        """Remove an intent that has not been committed and won't be."""
        if self.intents_by_change.pop(change_id, None) is not None:
            self._publish()

    def observe_era(self, era: int) -> None:
        """Record that an answer of the store, or a message, has named an era of the store."""
        self.known_era = max(self.known_era, era)

    def doubt_keys(self, key_ids: frozenset[str]) -> None:
        """Refuse the keys whose withdrawal may have been lost, as the newest majority says."""
        self.doubted_keys = key_ids
        self._publish()

    def note_stored(self, version: int, era: int) -> None:
        """Record that the store had ``version``, or a later one, in ``era``."""
        self.stored_version, self.stored_era = version, era

    @property
    def change_id(self) -> str:
        """Return the change that made the installed version, or nothing before the first."""
        return "" if self.head is None else self.head.change_id

    def may_confirm(self, asked_version: int, change_id: str = "") -> bool:
        """Return whether this host may confirm that ``asked_version`` is the newest version."""
        return guards.may_confirm(
            asked_version, self.installed, self.known
        ) and guards.is_same_change(change_id, self.change_id)

    def replace_diverged(self, head: Head, state: AgreedState, now: float) -> None:
        """Install another content of the installed version, which a majority has.

        This host's was committed in an earlier era of the store and lost, and nobody was told
        that it is in force.
        """
        self._proof_asked_at = -math.inf
        self._record_division(state, now)
        self.last_removal_at = math.inf
        self.head, self.state = head, state
        self._publish(always=True)

    def renew_proof(
        self, version: int, asked_at: float, peer_suspended_keys: frozenset[str]
    ) -> bool:
        """Record a proof requested at ``asked_at``; return whether it is newer than the last one.

        The proof shows that ``version`` was the newest at ``asked_at``. ``peer_suspended_keys`` are
        keys whose withdrawal may have been committed nevertheless.
        The proof also holds for a later installed version, which determines the outcome of these
        withdrawals, so that the keys are no longer suspended.
        """
        if version > self.installed or asked_at <= self._proof_asked_at:
            return False
        if version < self.installed:
            peer_suspended_keys = frozenset()
        self._proof_asked_at = asked_at
        if peer_suspended_keys != self._peer_suspended_keys:
            self._peer_suspended_keys = peer_suspended_keys
            self._publish()
        return True

    def _record_removal(self, state: AgreedState, now: float) -> None:
        """Update ``last_removal_at`` on installing ``state``.

        A version is committed only once a majority knows the one before, so the next version
        installed after a removal shows that a majority knows of the removal.
        """
        if math.isinf(self.last_removal_at):
            self.last_removal_at = now
        versions_skipped = state.version > self.installed + 1
        if versions_skipped or not set(self.members_by_host) <= set(state.members_by_host):
            self.last_removal_at = math.inf

    def _record_division(self, state: AgreedState, now: float) -> None:
        if self.state is None or self.state.division_version != state.division_version:
            self._division_known_at = math.inf
        if state.version > state.division_version and not self.division_is_known:
            self._division_known_at = now

    def confirm_division(self, version: int, hosts: Collection[str], now: float) -> None:
        """Record that ``hosts`` know ``version``; ignored unless it is the installed one."""
        if version != self.installed or self.division_is_known:
            return
        if guards.has_majority(hosts, self.members_by_host):
            self._division_known_at = now
            self._publish(always=True)

    def _close_settled_intents(self) -> None:
        self.intents_by_change = {
            change_id: intent
            for change_id, intent in self.intents_by_change.items()
            if self._is_unsettled(intent)
        }

    def _is_unsettled(self, intent: OpenIntent) -> bool:
        """Return whether the intent's outcome is not known from the installed version.

        A later version says nothing of a change that was committed and lost with an earlier era.
        """
        if guards.intent_is_open(intent.base_version, self.installed):
            return True
        is_included = self.head is not None and self.head.has_change(intent.change_id)
        return intent.era not in {None, self.era} and not is_included

    def _publish(self, always: bool = False) -> None:
        if self.state is None:
            return
        refused_keys = self.suspended_keys | self._peer_suspended_keys | self.doubted_keys
        effective = with_keys_withdrawn(self.state, refused_keys)
        if always or effective != self.effective:
            self.effective = effective
            self._subject.on_next(effective)
