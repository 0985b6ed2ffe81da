"""Settings of the entry daemon, from flags and environment variables."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Annotated

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from flamingoladder.config.problems import Problem

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

PREFIX = "FLAMINGOLADDER_"

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Text = Annotated[str, msgspec.Meta(min_length=1)]
Sha256 = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class Role(StrEnum):
    """What an operator's token allows."""

    VIEWER = "viewer"
    OPERATOR = "operator"


class OperatorToken(msgspec.Struct, frozen=True):
    """A token of the operator API, kept as its SHA-256 digest."""

    role: Role
    sha256: Sha256


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of an entry daemon.

    ``operator_tokens`` may hold several tokens of a role, so that a token can be replaced without a
    stop. ``stop_grace_s`` bounds a graceful shutdown, in seconds. ``caller_tls_*`` and
    ``operator_tls_*`` are paths of PEM files; without them the port speaks plain HTTP.
    ``memory_mb`` is what the process may take in megabytes, and ``max_fds`` how many descriptors it
    may open; each is 0 if it is not known.
    """

    host: Text
    region: Text
    failure_domain: Text
    address: Text
    caller_port: Port
    operator_port: Port
    peer_port: Port
    platform_url: Annotated[str, msgspec.Meta(pattern="^https?://")]
    platform_token: Text
    operator_tokens: tuple[OperatorToken, ...]
    statsd_host: str | None = None
    statsd_port: Port = 8125
    log_level: str = "INFO"
    log_file: str | None = None
    stop_grace_s: Annotated[float, msgspec.Meta(gt=0)] = 20.0
    caller_tls_certificate: str | None = None
    caller_tls_key: str | None = None
    operator_tls_certificate: str | None = None
    operator_tls_key: str | None = None
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0

    @property
    def caller_url(self) -> str:
        """Return the base URL for callers."""
        scheme = "https" if self.caller_tls_certificate else "http"
        return f"{scheme}://{self.address}:{self.caller_port}"

    @property
    def peer_endpoint(self) -> str:
        """Return the ZeroMQ endpoint for peers."""
        return f"tcp://{self.address}:{self.peer_port}"


def read_settings(
    flags: Mapping[str, object], environment: Mapping[str, str]
) -> Result[Settings, Sequence[Problem]]:
    """Return the settings, flags before environment variables, or all problems.

    Each problem's path is the flag and the environment variable of the setting.
    """
    texts: dict[str, object] = {}
    problems: list[Problem] = []
    for field in msgspec.structs.fields(Settings):
        value = flags.get(field.name)
        if value is None:
            value = environment.get(PREFIX + field.name.upper())
        if value is None and field.required:
            problems.append(Problem(setting_name(field.name), "missing", "set one of the two"))
        if value is None:
            continue
        try:
            texts[field.name] = _converted(field, value)
        except (msgspec.ValidationError, ValueError) as error:
            message = str(error).partition(" - at")[0]
            problems.append(Problem(setting_name(field.name), message, "correct its value"))
    return Error(problems) if problems else Ok(Settings(**texts))  # type: ignore[arg-type]


def setting_name(field: str) -> str:
    """Return the flag and the environment variable of a setting."""
    return f"--{field.replace('_', '-')} ({PREFIX}{field.upper()})"


def _converted(field: msgspec.structs.FieldInfo, value: object) -> object:
    if field.name == "operator_tokens":
        return _operator_tokens(str(value))
    return msgspec.convert(value, field.type, strict=False)


def _operator_tokens(text: str) -> tuple[OperatorToken, ...]:
    """Return the tokens of ``role=sha256,role=sha256``."""
    pairs = [pair.strip().partition("=") for pair in text.split(",") if pair.strip()]
    if not pairs:
        raise ValueError("empty; give role=sha256, separated by commas")
    documents = [{"role": role, "sha256": digest} for role, _, digest in pairs]
    return msgspec.convert(documents, tuple[OperatorToken, ...])
