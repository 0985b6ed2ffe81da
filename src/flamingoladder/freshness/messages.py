"""Messages between hosts about the freshness of the agreed state."""

from __future__ import annotations

import msgspec


class ConfirmRequest(msgspec.Struct, frozen=True, tag="vouch_request"):
    """Asks whether ``version``, made by ``change_id``, is the newest that the receiver knows.

    ``store_era`` is the newest era of the store that the sender knows. A sender that does not name
    the change is of an earlier version of this software.
    """

    version: int
    change_id: str = ""
    store_era: int = 0


class ConfirmReply(msgspec.Struct, frozen=True, tag="vouch_reply"):
    """Confirms that the requested version is the newest, or names a newer one.

    ``confirmed`` holds only if the sender has installed the requested version and knows no newer
    one. ``version`` is the newest that the sender knows, ``incarnation`` the sender's own. The
    confirmation does not cover ``suspended_keys``, whose withdrawal may have been committed.
    ``change_id`` made the version that the sender has installed.
    """

    version: int
    confirmed: bool = msgspec.field(name="vouched")
    incarnation: str = ""
    suspended_keys: tuple[str, ...] = ()
    change_id: str = ""


class Intent(msgspec.Struct, frozen=True, tag="intent"):
    """Announces a change that the sender is about to commit on top of ``base_version``.

    ``suspended_key`` is the id of the key to refuse until the outcome is known, if any.
    """

    change_id: str
    base_version: int
    suspended_key: str | None = None


class IntentReply(msgspec.Struct, frozen=True, tag="intent_reply"):
    """Acknowledges an intent, unless the sender knows a version above its base."""

    acknowledged: bool
    version: int
    incarnation: str


class IntentAborted(msgspec.Struct, frozen=True, tag="intent_withdrawn"):
    """Notifies that the sender's change has not been committed and won't be."""

    change_id: str


class IntentStatusRequest(msgspec.Struct, frozen=True, tag="intent_question"):
    """Asks the host that announced ``change_id`` whether it is still open."""

    change_id: str


class IntentStatusReply(msgspec.Struct, frozen=True, tag="intent_answer"):
    """Answers for ``incarnation``; ``open`` if the change was, or may yet be, committed."""

    open: bool
    incarnation: str


class HeadAnnounced(msgspec.Struct, frozen=True, tag="head_announced"):
    """Carries the newest head known to the sender, encoded as in the table's row."""

    head: bytes


class HeadAcknowledged(msgspec.Struct, frozen=True, tag="head_known"):
    """Acknowledges an announced head.

    ``known`` is the newest version that the sender knows, ``installed`` the one that it acts on,
    made by ``change_id``. ``store_era`` is the newest era of the store that the sender knows.
    """

    known: int
    installed: int
    incarnation: str
    change_id: str = ""
    store_era: int = 0


class HeadRequest(msgspec.Struct, frozen=True, tag="head_request"):
    """Asks for the newest head that the receiver has installed."""


class HeadReply(msgspec.Struct, frozen=True, tag="head_reply"):
    """The encoded head, None before the first."""

    head: bytes | None


class ObjectRequest(msgspec.Struct, frozen=True, tag="object_request"):
    """Asks for the content of an object that a head names."""

    name: str


class ObjectReply(msgspec.Struct, frozen=True, tag="object_reply"):
    """The object's content, None if the sender does not have it."""

    content: bytes | None


class StatusRequest(msgspec.Struct, frozen=True, tag="status_request"):
    """Asks for the receiver's ``HostStatus``."""


class HostStatus(msgspec.Struct, frozen=True, tag="freshness_status"):
    """The version in force on one host and the state of its proof.

    ``proof_age_s`` is the age in seconds of the newest proof, None without one. ``store_era`` is
    the newest era of the store that the host knows, None before the first answer.
    """

    host: str
    incarnation: str
    version: int
    has_proof: bool
    proof_age_s: float | None
    open_intents: tuple[str, ...]
    store_era: int | None = None


FreshnessMessage = (
    ConfirmRequest
    | ConfirmReply
    | Intent
    | IntentReply
    | IntentAborted
    | IntentStatusRequest
    | IntentStatusReply
    | HeadAnnounced
    | HeadAcknowledged
    | HeadRequest
    | HeadReply
    | ObjectRequest
    | ObjectReply
    | StatusRequest
    | HostStatus
)
