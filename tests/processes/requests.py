"""Requests to single hosts, as a caller without the library would send them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import msgspec

from flamingoladder.standins.upstream_messages import DELAY_HEADER
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Verdict

if TYPE_CHECKING:
    from flamingoladder.standins.deployment import LocalDeployment
    from flamingoladder.standins.deployment import LocalHost
    from flamingoladder.standins.upstream_messages import Run


class Told(msgspec.Struct, frozen=True):
    """What a host told its caller."""

    verdict: Verdict
    reason: Reason | None
    ticket: str | None
    text: str


async def book(
    host: LocalHost,
    key: str,
    idempotency_key: str,
    delay_ms: int = 0,
    deadline_ms: int = 2_000,
    *,
    fresh_key: bool = False,
) -> Told:
    """Send a booking to ``host`` whose run takes ``delay_ms`` longer."""
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": idempotency_key,
        "Flamingoladder-Deadline-Ms": str(deadline_ms),
        "Flamingoladder-Fresh-Key": str(int(fresh_key)),
        DELAY_HEADER: str(delay_ms),
    }
    return await _told("POST", f"{host.caller_url}/services/bookings/bookings", headers)


async def look(host: LocalHost, key: str) -> Told:
    """Send a look at the catalogue to ``host``."""
    headers = {"Authorization": f"Bearer {key}"}
    return await _told("GET", f"{host.caller_url}/services/catalogue/tents", headers)


async def outcome(host: LocalHost, key: str, idempotency_key: str) -> Told:
    """Ask ``host`` what became of a booking."""
    headers = {"Authorization": f"Bearer {key}"}
    return await _told("GET", f"{host.caller_url}/v1/outcomes/{idempotency_key}", headers)


async def runs_of(deployment: LocalDeployment, idempotency_key: str) -> list[Run]:
    """Return the runs of a booking, whatever became of them."""
    report = await deployment.runs("bookings")
    return [run for run in report.runs if run.idempotency_key == idempotency_key]


async def _told(method: str, url: str, headers: dict[str, str]) -> Told:
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, headers=headers) as response,
    ):
        text = await response.text()
        verdict = Verdict(response.headers["Flamingoladder-Verdict"])
        reason = response.headers.get("Flamingoladder-Reason")
        if reason is None:
            return Told(verdict, None, None, text)
        ticket = msgspec.json.decode(text).get("ticket")
        return Told(verdict, Reason(reason), ticket, text)
