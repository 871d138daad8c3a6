"""Split JSON texts into their members without decoding these.

One value that cannot be decoded, because of its depth, a number out of range or bytes
that are no JSON, must not hide the values beside it.
"""

from __future__ import annotations

import re
from typing import NamedTuple

import msgspec

from carawayhitch.core import errors, result_codes

_STRING = rb'"(?:[^"\\]|\\.)*+"'
_LEAF = rb'[\[{](?:[^"\[\]{}]|%b)*+[\]}]' % _STRING
_BRACKETS = rb"(?P<opening>[\[{]++)|(?P<closing>[\]}]++)"
# Tokens of the outermost list or object: strings, innermost lists and objects, runs of
# brackets, and separators.
_OUTER_TOKEN = re.compile(
    rb"%b|%b|%b|(?P<comma>,)|(?P<colon>:)" % (_STRING, _LEAF, _BRACKETS), re.DOTALL
)
# Tokens within its members. Each match is as long as possible, because a page of the
# store is scanned in one step.
_INNER_TOKEN = re.compile(
    rb'(?:[^"\[\]{}]|%b|%b)++|%b' % (_STRING, _LEAF, _BRACKETS), re.DOTALL
)
_object_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_list_decoder = msgspec.json.Decoder(list[msgspec.Raw])


class ItemList(NamedTuple):
    """Undecoded items of a list in a JSON object.

    Parameters
    ----------
    members_by_name : dict of str to bytes
        The other members of the object, undecoded.
    """

    items: tuple[bytes, ...]
    members_by_name: dict[str, bytes]


def split_item_list(body: bytes, list_name: str) -> ItemList:
    """Return the undecoded items of a list in a JSON object.

    Raises
    ------
    MalformedMessageError
        If the body is not an object with a list of that name.
    """
    members_by_name = split_object(body)
    data = members_by_name.pop(list_name, None)
    if data is None or not data.lstrip().startswith(b"["):
        raise _split_error(f"no list {list_name!r}", body)
    return ItemList(split_list(data), members_by_name)


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the undecoded members of a JSON object by name.

    Raises
    ------
    MalformedMessageError
        If the text is not an object.
    """
    try:
        decoded = _object_decoder.decode(data)
        return {name: bytes(member) for name, member in decoded.items()}
    except (msgspec.MsgspecError, RecursionError):
        members = _scan_members(data, b"{")
    try:
        return {msgspec.json.decode(name, type=str): value for name, value in members}
    except msgspec.MsgspecError as error:
        raise _split_error(f"invalid member name ({error})", data) from None


def split_list(data: bytes) -> tuple[bytes, ...]:
    """Return the undecoded items of a JSON list.

    Raises
    ------
    MalformedMessageError
        If the text is not a list.
    """
    try:
        return tuple(bytes(item) for item in _list_decoder.decode(data))
    except (msgspec.MsgspecError, RecursionError):
        return tuple(value for _, value in _scan_members(data, b"["))


def _scan_members(data: bytes, opening: bytes) -> list[tuple[bytes, bytes]]:
    """Return names and values of the members of the outermost object or list.

    Names are empty in a list. The scan is not recursive, so depth does not matter, and
    it checks only what it needs in order to find the ends of the members.
    """
    first = data.find(opening)
    if first < 0 or data[:first].strip():
        raise _split_error(f"expected {opening.decode()!r}", data)
    members: list[tuple[bytes, bytes]] = []
    depth, name, start = 1, b"", first + 1
    token = _OUTER_TOKEN.search(data, start)
    while token is not None:
        kind = token.lastgroup
        if kind == "opening":
            depth += len(token[0])
        elif kind == "closing":
            depth -= len(token[0])
            if depth <= 0:
                # The bracket that ends the outermost value may be followed by others.
                end = token.end() - 1 + depth
                _append_member(members, name, data[start:end])
                return members
        elif kind == "comma":
            _append_member(members, name, data[start : token.start()])
            name, start = b"", token.end()
        elif kind == "colon" and not name:
            name, start = data[start : token.start()].strip(), token.end()
        pattern = _OUTER_TOKEN if depth == 1 else _INNER_TOKEN
        token = pattern.search(data, token.end())
    raise _split_error("unbalanced brackets", data)


def _append_member(
    members: list[tuple[bytes, bytes]], name: bytes, value: bytes
) -> None:
    if value.strip():
        members.append((name, value.strip()))


def _split_error(problem: str, data: bytes) -> errors.MalformedMessageError:
    return errors.MalformedMessageError(
        result_codes.STORE_CALL_FAILED, f"{problem}, found {data[:80]!r}"
    )
