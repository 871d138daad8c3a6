"""Error responses: each refusal is counted and has a result code and a JSON body."""

from __future__ import annotations

import traceback
from functools import singledispatch
from pathlib import Path

from sanic import Request, exceptions
from sanic.response import HTTPResponse, raw

from carawayhitch import codecs
from carawayhitch.core import actions, errors, result_codes
from carawayhitch.node import Node

JSON_CONTENT_TYPE = "application/json"
RAN_HEADER = "Carawayhitch-Ran"
# Method that sanic sets on requests whose headers it could not parse.
UNPARSED_REQUEST_METHOD = "NONE"


def refusal_response(action: actions.RefuseCall) -> HTTPResponse:
    """Return the error response of a refused call."""
    headers: dict[str, str] = {RAN_HEADER: action.code.ran}
    if action.retry_after:
        headers["Retry-After"] = str(max(1, round(action.retry_after)))
    return raw(
        codecs.encode_error_body(action.code, action.message),
        action.code.http_status or 502,
        headers=headers,
        content_type=JSON_CONTENT_TYPE,
    )


@singledispatch
def result_code_for_error(
    error: BaseException, request: Request
) -> result_codes.ResultCode:
    """Return the result code of an error that ended a request."""
    return result_codes.INTERNAL_ERROR


@result_code_for_error.register
def _carawayhitch_error_code(
    error: errors.CarawayhitchError, request: Request
) -> result_codes.ResultCode:
    return error.code


@result_code_for_error.register
def _bad_request_code(
    error: exceptions.BadRequest, request: Request
) -> result_codes.ResultCode:
    return result_codes.MALFORMED_REQUEST


@result_code_for_error.register
def _expectation_failed_code(
    error: exceptions.ExpectationFailed, request: Request
) -> result_codes.ResultCode:
    return result_codes.MALFORMED_REQUEST


@result_code_for_error.register
def _not_found_code(
    error: exceptions.NotFound, request: Request
) -> result_codes.ResultCode:
    return result_codes.NOT_FOUND


@result_code_for_error.register
def _method_not_allowed_code(
    error: exceptions.MethodNotAllowed, request: Request
) -> result_codes.ResultCode:
    return result_codes.METHOD_NOT_ALLOWED


@result_code_for_error.register
def _payload_too_large_code(
    error: exceptions.PayloadTooLarge, request: Request
) -> result_codes.ResultCode:
    if request.method == UNPARSED_REQUEST_METHOD:
        return result_codes.HEADERS_TOO_LARGE
    return result_codes.BODY_TOO_LARGE


@result_code_for_error.register
def _request_timeout_code(
    error: exceptions.RequestTimeout, request: Request
) -> result_codes.ResultCode:
    return result_codes.REQUEST_TIMEOUT


def error_response(node: Node, request: Request, error: Exception) -> HTTPResponse:
    """Count and log an error; return its response, which has no internal details."""
    return refusal_response(record_handler_error(node, request, error))


def record_handler_error(
    node: Node, request: Request, error: Exception, request_id: str = ""
) -> actions.RefuseCall:
    """Count and log an error raised by a request handler; return the refusal.

    Parameters
    ----------
    request_id : str
        Id by which the caller knows the request, if it sent one.
    """
    code = result_code_for_error(error, request)
    node.count(code, "")
    if code is result_codes.INTERNAL_ERROR:
        node.log.error(
            "call failed",
            **_log_fields(request, code, request_id),
            **_error_type_and_location(error),
        )
    else:
        node.log.info("call refused", **_log_fields(request, code, request_id))
    message = code.meaning
    if isinstance(error, errors.CarawayhitchError):
        message = error.message
    retry_after = 1.0 if code.http_status == 503 else 0.0
    return actions.RefuseCall("", code, message, retry_after)


def _log_fields(
    request: Request, code: result_codes.ResultCode, request_id: str
) -> dict[str, str]:
    return {
        "request_id": request_id or str(request.id),
        "account": "",
        "rank": "",
        "upstream": "",
        "code": code.name,
    }


def _error_type_and_location(error: Exception) -> dict[str, str]:
    """Return the type and the location of an error.

    The message of the error is not logged, because it may contain a token or a body.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    return {"error": type(error).__name__, "place": place}
