"""Daemons and stand-ins as real processes, for tests and the demo."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

import flamingoladder
from flamingoladder.standins.exceptions import NoFreePortsError
from flamingoladder.standins.exceptions import ProcessNotReadyError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random
    from types import TracebackType

LOOPBACK = "127.0.0.1"
FIRST_PORT = 18_000
LAST_PORT = 32_000
PORT_ATTEMPTS = 100
POLL_S = 0.02
READY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0
LOG_TAIL_BYTES = 4_000
SOURCE_DIRECTORY = Path(flamingoladder.__file__).parents[1]


class ManagedProcess:
    """A ``flamingoladder`` command in a process of its own, which can be started again."""

    __slots__ = ("_arguments", "_environment", "_process", "log_path", "name")

    def __init__(
        self, name: str, arguments: tuple[str, ...], environment: Mapping[str, str], log_path: Path
    ) -> None:
        self.name = name
        self.log_path = log_path
        self._arguments = arguments
        self._environment = environment
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int | None:
        """Return the process id, or None before the first start."""
        return None if self._process is None else self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, negative for a signal, or None while running."""
        return None if self._process is None else self._process.poll()

    @property
    def running(self) -> bool:
        """Return whether the process runs; a frozen one does."""
        return self._process is not None and self._process.poll() is None

    @property
    def log(self) -> str:
        """Return what all starts have written to standard output and error."""
        return self.log_path.read_text(errors="replace")

    def start(self) -> None:
        """Start the process, or start it again after its end."""
        if self.running:
            return
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "flamingoladder", *self._arguments],
                env={**os.environ, "PYTHONPATH": str(SOURCE_DIRECTORY), **self._environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def terminate(self) -> None:
        """Ask the process for a graceful shutdown."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process."""
        self._signal(signal.SIGKILL)

    def freeze(self) -> None:
        """Stop the process where it is."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit status once the process has ended.

        :raises TimeoutError: if it has not ended within ``timeout_s`` seconds.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                status = self.exit_status
                if status is not None:
                    return status
                await asyncio.sleep(POLL_S)

    async def wait_until_ready(self, url: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Return when a GET of ``url`` is answered with a status below 500.

        :raises ProcessNotReadyError: if that takes over ``timeout_s`` seconds or the process ends.
        """
        try:
            async with asyncio.timeout(timeout_s), aiohttp.ClientSession() as session:
                while not await _answers(session, url):
                    self._require_running()
                    await asyncio.sleep(POLL_S)
        except TimeoutError as error:
            raise self._not_ready(f"no answer from {url} within {timeout_s} s") from error

    def _require_running(self) -> None:
        if not self.running:
            raise self._not_ready(f"ended with status {self.exit_status}")

    def _not_ready(self, reason: str) -> ProcessNotReadyError:
        return ProcessNotReadyError(f"{self.name}: {reason}\n{self.log[-LOG_TAIL_BYTES:]}")

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self.running:
            self._process.send_signal(number)


class Processes:
    """All processes of a test or demo; leaving the context ends every one of them."""

    __slots__ = ("_directory", "_environment", "by_name")

    def __init__(self, directory: Path, environment: Mapping[str, str] | None = None) -> None:
        self._directory = directory
        self._environment = environment or {}
        self.by_name: dict[str, ManagedProcess] = {}

    async def __aenter__(self) -> Processes:
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for process in self.by_name.values():
            process.kill()
        await asyncio.gather(*(process.wait() for process in self._started()))

    def start(
        self, name: str, *arguments: str, environment: Mapping[str, str] | None = None
    ) -> ManagedProcess:
        """Start ``flamingoladder`` with ``arguments``; its output goes to ``<name>.log``."""
        process = ManagedProcess(
            name,
            arguments,
            {**self._environment, **(environment or {})},
            self._directory / f"{name}.log",
        )
        self.by_name[name] = process
        process.start()
        return process

    async def stop_all(self, timeout_s: float = STOP_TIMEOUT_S) -> dict[str, int]:
        """Ask all for a graceful shutdown and return their exit statuses by name.

        :raises TimeoutError: if one has not ended within ``timeout_s`` seconds.
        """
        for process in self.by_name.values():
            process.thaw()
            process.terminate()
        return {process.name: await process.wait(timeout_s) for process in self._started()}

    def _started(self) -> list[ManagedProcess]:
        return [process for process in self.by_name.values() if process.pid is not None]


def free_ports(count: int, random: Random) -> int:
    """Return the first of ``count`` consecutive TCP ports that are free on the loopback address.

    :raises NoFreePortsError: if no such block was found.
    """
    for _ in range(PORT_ATTEMPTS):
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        if _all_free(first, count):
            return first
    raise NoFreePortsError(f"no block of {count} free ports")


def _all_free(first: int, count: int) -> bool:
    with ExitStack() as bound:
        for port in range(first, first + count):
            try:
                bound.enter_context(socket.create_server((LOOPBACK, port)))
            except OSError:
                return False
    return True


async def _answers(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status < HTTPStatus.INTERNAL_SERVER_ERROR
    except aiohttp.ClientError:
        return False
