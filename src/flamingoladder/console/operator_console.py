"""Calls the operator API for a command and prints the reply for people or as JSON."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import aiohttp
import msgspec
from expression import Error
from expression import Ok
from expression import Result

from flamingoladder.console import environment
from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.decoding import Decoder
from flamingoladder.decoding import MalformedValueError
from flamingoladder.operators.messages import ErrorCode
from flamingoladder.operators.messages import OperatorError

if TYPE_CHECKING:
    from collections.abc import Callable

R = TypeVar("R", bound=msgspec.Struct)

CALL_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 2.0
EXIT_CODES_BY_ERROR = {
    ErrorCode.BAD_REQUEST: ExitCode.BAD_INPUT,
    ErrorCode.INVALID_CONFIGURATION: ExitCode.BAD_INPUT,
    ErrorCode.CONFLICT: ExitCode.CONFLICT,
    ErrorCode.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
}

_error_decoder = Decoder.of_json(OperatorError)


class Call(Generic[R]):
    """One call of the operator API."""

    __slots__ = ("body", "headers", "method", "path", "reply_type")

    def __init__(
        self,
        method: str,
        path: str,
        reply_type: type[R],
        body: msgspec.Struct | bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        self.method = method
        self.path = path
        self.reply_type = reply_type
        self.body = body
        self.headers = headers or {}

    @property
    def payload(self) -> bytes | None:
        """Return the body as bytes."""
        if isinstance(self.body, msgspec.Struct):
            return msgspec.json.encode(self.body)
        return self.body


class UnreachableError(Exception):
    """No operator port answered; the message names each that was tried."""


class OperatorConsole:
    """The operator ports to try in turn, and how to print."""

    __slots__ = ("_json", "_token", "_urls")

    def __init__(self, urls: list[str], token: str, json: bool) -> None:
        self._urls = urls
        self._token = token
        self._json = json

    @classmethod
    def from_options(cls, url: str, token: str, json: bool) -> OperatorConsole:
        """Return a console from a command's options, or else from the environment.

        ``url`` may hold several base URLs, separated by commas.
        """
        urls = url or environment.text("OPERATOR_URL")
        return cls(
            [part.strip().rstrip("/") for part in urls.split(",") if part.strip()],
            token or environment.text("OPERATOR_TOKEN"),
            json,
        )

    def run(self, call: Call[R], text: Callable[[R], str]) -> int:
        """Make the call, print its reply as ``text`` says, and return the exit status."""
        missing = self._missing_option()
        if missing:
            print(missing, file=sys.stderr)
            return ExitCode.BAD_INPUT
        try:
            result = asyncio.run(self.send(call))
        except UnreachableError as error:
            print(f"no host answered: {error}", file=sys.stderr)
            return ExitCode.UNREACHABLE
        if result.is_error():
            return self._print_error(result.error)
        print(msgspec.json.encode(result.ok).decode() if self._json else text(result.ok))
        return ExitCode.DONE

    async def send(self, call: Call[R]) -> Result[R, OperatorError]:
        """Return the reply of the first host that can be connected to.

        :raises UnreachableError: if none can be.
        """
        failures = []
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for url in self._urls:
                try:
                    return await self._send_to(session, url, call)
                except aiohttp.ClientConnectorError as error:
                    failures.append(f"{url}: {error}")
                except (aiohttp.ClientError, TimeoutError) as error:
                    return Error(_answer_lost(call, error))
        raise UnreachableError("; ".join(failures))

    async def _send_to(
        self, session: aiohttp.ClientSession, url: str, call: Call[R]
    ) -> Result[R, OperatorError]:
        headers = {"Authorization": f"Bearer {self._token}", **call.headers}
        request = session.request(call.method, url + call.path, data=call.payload, headers=headers)
        async with request as response:
            body = await response.read()
            if response.ok:
                return _reply(call, body)
            try:
                return Error(_error_decoder.decode(body))
            except MalformedValueError:
                detail = f"unexpected answer with status {response.status}"
                return Error(OperatorError(ErrorCode.BAD_REQUEST, detail))

    def _missing_option(self) -> str:
        if not self._urls:
            return "--url or FLAMINGOLADDER_OPERATOR_URL must be set"
        if not self._token:
            return "--token or FLAMINGOLADDER_OPERATOR_TOKEN must be set"
        return ""

    def _print_error(self, error: OperatorError) -> int:
        if self._json:
            print(msgspec.json.encode(error).decode())
        else:
            print(f"{error.code}: {error.detail}", file=sys.stderr)
            for problem in error.problems:
                print(f"  {problem}", file=sys.stderr)
        return EXIT_CODES_BY_ERROR.get(error.code, ExitCode.REFUSED)


def _reply(call: Call[R], body: bytes) -> Result[R, OperatorError]:
    try:
        return Ok(Decoder.of_json(call.reply_type).decode(body))
    except MalformedValueError as error:
        return Error(_answer_lost(call, error))


def _answer_lost(call: Call[R], error: Exception) -> OperatorError:
    described = f"{type(error).__name__}: {error}".rstrip(": ")
    if call.method == "GET":
        return OperatorError(ErrorCode.STORE_UNAVAILABLE, f"the host did not answer: {described}")
    detail = f"the answer was lost ({described}); see the state before trying again"
    return OperatorError(ErrorCode.OUTCOME_UNKNOWN, detail)
