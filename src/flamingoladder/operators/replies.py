"""Responses of the operator API."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from flamingoladder.freshness.commit_results import RefusalKind
from flamingoladder.operators.messages import ErrorCode
from flamingoladder.operators.messages import OperatorError

if TYPE_CHECKING:
    from flamingoladder.freshness.commit_results import CommitRefused

CODES_BY_REFUSAL = {
    RefusalKind.CONFLICT: ErrorCode.CONFLICT,
    RefusalKind.NO_MAJORITY: ErrorCode.NO_MAJORITY,
    RefusalKind.STORE_UNAVAILABLE: ErrorCode.STORE_UNAVAILABLE,
    RefusalKind.REJECTED: ErrorCode.REJECTED,
    RefusalKind.OUTCOME_UNKNOWN: ErrorCode.OUTCOME_UNKNOWN,
}
STATUSES_BY_CODE = {
    ErrorCode.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    ErrorCode.FORBIDDEN: HTTPStatus.FORBIDDEN,
    ErrorCode.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    ErrorCode.INVALID_CONFIGURATION: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.NO_STATE: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.CONFLICT: HTTPStatus.PRECONDITION_FAILED,
    ErrorCode.NO_MAJORITY: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.REJECTED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}


def json_reply(body: msgspec.Struct) -> web.Response:
    """Return a response with status 200."""
    return web.Response(body=msgspec.json.encode(body), content_type="application/json")


def error_reply(error: OperatorError) -> web.Response:
    """Return the response of an error, with the status that belongs to its code."""
    return web.Response(
        status=STATUSES_BY_CODE[error.code],
        body=msgspec.json.encode(error),
        content_type="application/json",
    )


def refused_reply(refused: CommitRefused) -> web.Response:
    """Return the response of a refused commit."""
    code = CODES_BY_REFUSAL[refused.kind]
    return error_reply(OperatorError(code, refused.detail, refused.present_version))
