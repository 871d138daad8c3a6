"""Calls of the operators' interface of an entry."""

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
# An entry resolves the outcome of a change within 8 s.
CALL_TIMEOUT_SECONDS = 12.0

Body = TypeVar("Body")


class RefusalBody(TypedDict):
    """Error of an entry."""

    code: int
    name: str
    ran: str
    message: str


class RefusalEnvelope(TypedDict):
    """Body of a refused call."""

    error: RefusalBody


class WrittenBody(TypedDict):
    """Body of an accepted change."""

    version: int


class Entry(NamedTuple):
    """Address of an entry and the operators' token."""

    url: str
    token: str


# Addresses of entries are loopback or private; a proxy from the environment is not for
# them.
_opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def read_admin_token(token_file: str | None) -> str:
    """Return the operators' token from a file or the environment.

    Raises
    ------
    InvalidValueError
        If there is none.
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
    if not token:
        source = (
            f"--token-file {token_file}"
            if token_file
            else ADMIN_TOKEN_ENVIRONMENT_VARIABLE
        )
        message = f"{source}: found nothing, expected the operators' token"
        raise errors.InvalidValueError(result_codes.INVALID_SETTING, message)
    return token


def call_entry(
    entry: Entry, method: str, path: str, body: Any, body_type: type[Body]
) -> Body:
    """Return the checked body of an answer.

    Raises
    ------
    CarawayhitchError
        With the code of the entry's refusal, or ``CHANGE_UNKNOWN`` if it did not
        answer.
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
        with _opener.open(request, timeout=CALL_TIMEOUT_SECONDS) as response:
            return codecs.decode_body(response.read(), body_type, entry.url)
    except urllib.error.HTTPError as error:
        raise _refusal(entry, error) from None
    except ValueError as error:
        raise errors.InvalidValueError(
            result_codes.INVALID_SETTING,
            f"--entry {entry.url!r}: {error}, expected http://address:port",
        ) from None
    except (OSError, http.client.HTTPException) as error:
        raise errors.StoreError(
            result_codes.CHANGE_UNKNOWN, f"{entry.url}: no answer: {error}"
        ) from None


def _refusal(entry: Entry, error: urllib.error.HTTPError) -> errors.CarawayhitchError:
    try:
        body = codecs.decode_body(error.read(), RefusalEnvelope, entry.url)["error"]
        code = result_codes.codes_by_name[body["name"]]
    except (errors.MalformedMessageError, KeyError):
        return errors.StoreError(
            result_codes.CHANGE_UNKNOWN, f"{entry.url}: answered {error.code}"
        )
    return errors.CallRefusedError(code, body["message"])


def read_objects(entry: Entry) -> dict[declarations.ObjectKey, codecs.ObjectBody]:
    """Return all objects that an entry knows, tombstones included."""
    body = call_entry(entry, "GET", "/admin/v1/objects", None, codecs.ObjectsBody)
    if not body["complete"]:
        message = f"{entry.url}: has no whole configuration yet, try again later"
        raise errors.StoreError(result_codes.NOT_CONFIGURED, message)
    return {
        declarations.ObjectKey(entry_["kind"], entry_["name"]): entry_
        for entry_ in body["objects"]
    }


def read_status(entry: Entry) -> codecs.StatusBody:
    """Return the state of an entry."""
    return call_entry(entry, "GET", "/admin/v1/status", None, codecs.StatusBody)


def read_status_from_metrics_address(url: str) -> codecs.StatusBody:
    """Return what the metrics address of an entry tells of it, without a token."""
    return call_entry(Entry(url, ""), "GET", "/status", None, codecs.StatusBody)


def write_change(
    entry: Entry, key: declarations.ObjectKey, change: codecs.ChangeBody
) -> int:
    """Write one object and return its new version.

    A lost answer is resolved by reading the object back and looking for the change id.
    """
    path = f"/admin/v1/objects/{key.kind}/{key.name}"
    try:
        return call_entry(entry, "PUT", path, change, WrittenBody)["version"]
    except errors.StoreError as error:
        try:
            found = read_objects(entry).get(key)
        except errors.CarawayhitchError:
            raise error from None
        if found is not None and found["change_id"] == change["change_id"]:
            return found["version"]
        raise
