"""Client of the admin interface of an entry."""

from __future__ import annotations

import http.client
import os
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any, NamedTuple, TypedDict, TypeVar

from carawayhitch import codecs
from carawayhitch.core import declarations, errors, result_codes

ADMIN_TOKEN_ENVIRONMENT_VARIABLE = "CARAWAYHITCH_ADMIN_TOKEN"
# Longer than the 8 s within which an entry determines the outcome of a change.
CALL_TIMEOUT_SECONDS = 12.0

Body = TypeVar("Body")


class RefusalBody(TypedDict):
    """Error in the body of a refused call."""

    code: int
    name: str
    ran: str
    message: str


class RefusalEnvelope(TypedDict):
    """Body of a refused call."""

    error: RefusalBody


class AcceptedChangeBody(TypedDict):
    """Body of an accepted change."""

    version: int


class Entry(NamedTuple):
    """URL of an entry and the operators' token."""

    url: str
    token: str


# Ignores proxies from the environment, because entries have loopback or private
# addresses.
_opener_without_proxy = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def read_admin_token(token_file: str | None) -> str:
    """Return the operators' token from a file or the environment.

    Raises
    ------
    InvalidValueError
        If the file cannot be read, the token is empty or not set, or a header cannot
        hold it.
    """
    try:
        token = (
            Path(token_file).read_text(encoding="utf-8")
            if token_file
            else os.environ.get(ADMIN_TOKEN_ENVIRONMENT_VARIABLE, "")
        ).strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidValueError(
            result_codes.INVALID_SETTING, f"--token-file {token_file}: {error}"
        ) from None
    source = (
        f"--token-file {token_file}" if token_file else ADMIN_TOKEN_ENVIRONMENT_VARIABLE
    )
    if not token:
        message = f"{source}: empty or not set, expected the operators' token"
        raise errors.InvalidValueError(result_codes.INVALID_SETTING, message)
    if not token.isascii() or not token.isprintable():
        # The HTTP library would quote the token in its own error message.
        message = (
            f"{source}: the operators' token contains a line break or another"
            " character that a header cannot hold"
        )
        raise errors.InvalidValueError(result_codes.INVALID_SETTING, message)
    return token


def call_entry(
    entry: Entry, method: str, path: str, body: Any, body_type: type[Body]
) -> Body:
    """Call an entry and return the validated body of its response.

    Raises
    ------
    CarawayhitchError
        With the result code of the refusal, or ``CHANGE_UNKNOWN`` if there was no valid
        response.
    """
    try:
        request = urllib.request.Request(
            entry.url.rstrip("/") + path,
            data=None if body is None else codecs.encode_json(body),
            method=method,
            headers={
                "Authorization": f"Bearer {entry.token}",
                "Content-Type": "application/json",
            },
        )
        with _opener_without_proxy.open(
            request, timeout=CALL_TIMEOUT_SECONDS
        ) as response:
            return codecs.decode_json_body(response.read(), body_type, entry.url)
    except urllib.error.HTTPError as error:
        raise _error_from_response(entry, error) from None
    except ValueError as error:
        raise errors.InvalidValueError(
            result_codes.INVALID_SETTING,
            f"--entry {entry.url!r}: {error}, expected http://address:port",
        ) from None
    except (OSError, http.client.HTTPException) as error:
        raise errors.StoreError(
            result_codes.CHANGE_UNKNOWN, f"{entry.url}: no response: {error}"
        ) from None


def _error_from_response(
    entry: Entry, error: urllib.error.HTTPError
) -> errors.CarawayhitchError:
    try:
        body = codecs.decode_json_body(error.read(), RefusalEnvelope, entry.url)[
            "error"
        ]
        code = result_codes.codes_by_name[body["name"]]
    except (OSError, http.client.HTTPException) as read_error:
        return errors.StoreError(
            result_codes.CHANGE_UNKNOWN,
            f"{entry.url}: HTTP status {error.code}, body cut off: {read_error}",
        )
    except (errors.MalformedMessageError, KeyError):
        return errors.StoreError(
            result_codes.CHANGE_UNKNOWN,
            f"{entry.url}: unexpected HTTP status {error.code}",
        )
    return errors.CallRefusedError(code, body["message"])


def read_objects(entry: Entry) -> dict[declarations.ObjectKey, codecs.ObjectBody]:
    """Return all objects that an entry holds, including tombstones."""
    body = call_entry(entry, "GET", "/admin/v1/objects", None, codecs.ObjectsBody)
    if not body["complete"]:
        message = f"{entry.url}: has no complete configuration yet, try again later"
        raise errors.StoreError(result_codes.NOT_CONFIGURED, message)
    return {
        declarations.ObjectKey(object_body["kind"], object_body["name"]): object_body
        for object_body in body["objects"]
    }


def read_status(entry: Entry) -> codecs.StatusBody:
    """Return the status of an entry and of the members that it knows."""
    return call_entry(entry, "GET", "/admin/v1/status", None, codecs.StatusBody)


def read_status_from_metrics_address(url: str) -> codecs.StatusBody:
    """Return the status of an entry from its metrics address, without a token."""
    return call_entry(Entry(url, ""), "GET", "/status", None, codecs.StatusBody)


def write_change(
    entry: Entry, key: declarations.ObjectKey, change: codecs.ChangeBody
) -> int:
    """Write one object and return its new version.

    If the response is lost, the object is read back and its change id is compared, to
    determine whether the change was written.
    """
    path = f"/admin/v1/objects/{key.kind}/{key.name}"
    try:
        return call_entry(entry, "PUT", path, change, AcceptedChangeBody)["version"]
    except errors.StoreError as error:
        try:
            stored = read_objects(entry).get(key)
        except errors.CarawayhitchError:
            raise error from None
        if stored is not None and stored["change_id"] == change["change_id"]:
            return stored["version"]
        raise
