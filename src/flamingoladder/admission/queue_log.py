"""Log lines when queueing for a service begins and ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingoladder.timeline.recorder import Recorder

# Queueing that begins again within this time is the same episode, which bounds the number of lines.
LINGER_S = 1.0


class _Episode:
    __slots__ = ("began", "deepest", "emptied_at", "queued", "refused")

    def __init__(self, now: float) -> None:
        self.began = now
        self.emptied_at: float | None = None
        self.deepest = 0
        self.queued = 0
        self.refused = 0


class QueueLog:
    """Records an event when requests of a service begin to queue, and one when they no longer do.

    The second sums up the episode: its ``seconds``, and the numbers of requests.
    """

    __slots__ = ("_episodes_by_service", "_recorder")

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self._episodes_by_service: dict[str, _Episode] = {}

    @property
    def is_open(self) -> bool:
        """Return whether an episode has not ended."""
        return bool(self._episodes_by_service)

    def note_queued(self, service: str, depth: int, workspace: str, now: float) -> None:
        """Note that a request joined the queue, which is ``depth`` long with it."""
        episode = self._episodes_by_service.get(service)
        if episode is None:
            episode = self._episodes_by_service[service] = _Episode(now)
            self._recorder.record(
                "queue.began", service=service, depth=depth, workspace=workspace or None
            )
        episode.queued += 1
        episode.deepest = max(episode.deepest, depth)
        episode.emptied_at = None

    def note_refused(self, service: str) -> None:
        """Note that a queued request was refused."""
        episode = self._episodes_by_service.get(service)
        if episode is not None:
            episode.refused += 1

    def note_depth(self, service: str, depth: int, now: float) -> None:
        """Note how long the queue is; the episode ends once it has been empty for a while."""
        episode = self._episodes_by_service.get(service)
        if episode is None:
            return
        if depth:
            episode.emptied_at = None
            return
        if episode.emptied_at is None:
            episode.emptied_at = now
        if now - episode.emptied_at < LINGER_S:
            return
        del self._episodes_by_service[service]
        self._recorder.record(
            "queue.ended",
            service=service,
            depth=depth,
            seconds=round(episode.emptied_at - episode.began, 3),
            deepest=episode.deepest,
            queued=episode.queued,
            refused=episode.refused,
        )
