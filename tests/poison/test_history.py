"""Tests of what counts against a request that was at work when targets ended."""

from __future__ import annotations

import pytest

from flamingoladder.poison.history import MIN_QUARANTINE_S
from flamingoladder.poison.history import RECORD_TTL_S
from flamingoladder.poison.history import CrashHistory
from flamingoladder.poison.history import Status
from flamingoladder.poison.history import TargetEnd

LIMIT = 3
F = 1
OTHER = 2


def end(
    target: str,
    at: float,
    domain: str = "",
    *,
    incarnation: int | None = 1,
    fingerprint: int = F,
    began: float | None = None,
) -> TargetEnd:
    began = at - 0.02 if began is None else began
    return TargetEnd(target, incarnation, domain or target, at, began, frozenset({fingerprint}))


ONE_EACH = [end("a", 1.0), end("b", 4.0), end("c", 7.0)]


@pytest.mark.parametrize(
    ("ends", "causes"),
    [
        ([], 0),
        (ONE_EACH, 3),
        ([end("a", 1.0), end("b", 1.0), end("c", 1.0)], 3),
        ([end("a", 1.0), end("a", 1.2)], 1),
        ([end("a", 1.0), end("a", 9.0, incarnation=2)], 2),
        ([end("a", 1.0, "d"), end("b", 1.5, "d", began=0.9)], 1),
        ([end("a", 1.0, "d"), end("b", 1.5, "d", began=1.1)], 2),
        ([end("a", 1.0, "d"), end("b", 2.0, "d", began=0.9), end("c", 3.1, "d", began=0.9)], 2),
        ([end("a", 1.0, "d"), end("b", 3.0, "d")], 2),
        ([end("a", 1.0, "d"), end("a", 1.5, "d", incarnation=2)], 2),
        ([end("a", 1.0, incarnation=None), end("a", 1.2, incarnation=None, began=0.9)], 1),
        ([end("a", 1.0, incarnation=None), end("a", 1.5, incarnation=None, began=1.4)], 2),
    ],
    ids=[
        "none",
        "three targets",
        "three places at one moment",
        "one end told twice",
        "two starts of a target",
        "one domain at one moment",
        "sent to a target that outlived the first",
        "a chain longer than one moment",
        "one domain at two moments",
        "a target that was back between",
        "at work at one end",
        "sent after the end",
    ],
)
def test_ends_of_different_causes_count(ends: list[TargetEnd], causes: int) -> None:
    history = CrashHistory()
    for one in ends:
        history.add(one)
    assert history.standing((F,), LIMIT, 10.0).causes == causes


@pytest.mark.parametrize(
    ("ends", "status"),
    [(0, Status.FREE), (1, Status.FREE), (2, Status.SUSPECT), (3, Status.CONDEMNED)],
)
def test_status_follows_the_number_of_causes(ends: int, status: Status) -> None:
    history = CrashHistory()
    for one in ONE_EACH[:ends]:
        history.add(one)
    assert history.standing((OTHER, F), LIMIT, 8.0).status is status
    assert history.standing((OTHER,), LIMIT, 8.0).status is Status.FREE


def test_wide_fingerprint_alone_makes_no_suspect() -> None:
    history = CrashHistory()
    for one in ONE_EACH:
        assert history.standing((F, OTHER), LIMIT, 8.0).status is Status.FREE
        history.add(one)
    assert history.standing((F, OTHER), LIMIT, 8.0).status is Status.CONDEMNED


def test_condemned_request_is_tried_again_after_its_quarantine_which_doubles() -> None:
    history = CrashHistory()
    for one in ONE_EACH:
        history.add(one)
    assert history.standing((F,), LIMIT, 8.0).wait_s == pytest.approx(MIN_QUARANTINE_S - 1.0)
    until = 7.0 + MIN_QUARANTINE_S
    assert history.standing((F,), LIMIT, until).status is Status.SUSPECT
    history.add(end("d", until))
    assert history.standing((F,), LIMIT, until).wait_s == pytest.approx(2 * MIN_QUARANTINE_S)


@pytest.mark.parametrize(
    ("fingerprint", "began", "causes"),
    [(F, 7.1, 0), (F, 6.9, 1), (F, 0.5, 3), (OTHER, 7.1, 3)],
    ids=["later", "before the last end", "on its way since before", "to another request"],
)
def test_only_later_answer_to_the_same_request_clears(
    fingerprint: int, began: float, causes: int
) -> None:
    history = CrashHistory()
    for one in ONE_EACH:
        history.add(one)
    history.note_answer(fingerprint, began)
    assert history.standing((F,), LIMIT, 8.0).causes == causes


def test_order_in_which_ends_and_answers_become_known_does_not_matter() -> None:
    standings = []
    for order in (ONE_EACH, ONE_EACH[::-1]):
        history = CrashHistory()
        history.add(order[0])
        history.note_answer(F, 5.0)
        for one in [*order[1:], *ONE_EACH]:
            history.add(one)
        standings.append(history.standing((F,), LIMIT, 8.0))
    assert standings[0] == standings[1]
    assert standings[0].causes == 1


def test_loss_of_a_failure_domain_condemns_nothing() -> None:
    history = CrashHistory()
    for moment in (1.0, 5.0, 9.0):
        incarnation = int(moment)
        history.add(end("a", moment, "d", incarnation=incarnation))
        for name in ("b", "c"):
            lost = end(name, moment + 0.1, "d", incarnation=incarnation, fingerprint=OTHER)
            history.add(lost)
    assert history.standing((F,), LIMIT, 10.0).causes == 0


def test_old_ends_are_forgotten() -> None:
    history = CrashHistory()
    for one in ONE_EACH:
        history.add(one)
    history.expire(4.0 + RECORD_TTL_S)
    assert [one.target for one in history.ends] == ["c"]
    assert history.standing((F,), LIMIT, 4.0 + RECORD_TTL_S).causes == 1


def test_pressing_ends_are_those_that_are_new_or_count_against_a_suspect() -> None:
    history = CrashHistory()
    for one in [*ONE_EACH[:2], end("x", 1.0, fingerprint=OTHER), end("y", 29.0, fingerprint=OTHER)]:
        history.add(one)
    history.note_answer(OTHER, 2.0)
    assert [one.target for one in history.pressing_ends(30.0)] == ["a", "b", "y"]


@pytest.mark.parametrize("domains", [1, 2, 6])
@pytest.mark.parametrize("rhythm_s", [0.1, 0.3, 0.5, 0.9, 1.1, 2.0])
def test_request_that_crashes_targets_in_quick_succession_is_condemned(
    rhythm_s: float, domains: int
) -> None:
    """Guards against ends in one failure domain, each soon after the last, that count only once."""
    history = CrashHistory()
    ended = 0
    while history.standing((F,), LIMIT, ended * rhythm_s).status is not Status.CONDEMNED:
        ended += 1
        domain = f"domain-{ended % domains}"
        history.add(end(f"t-{ended}", ended * rhythm_s, domain, began=(ended - 0.5) * rhythm_s))
        assert ended <= 8
