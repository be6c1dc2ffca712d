"""Parse stored documents; skip and log what is invalid."""

import ipaddress
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from rosepath.json_decoding import DocumentError, decode_json_leniently
from rosepath.logs import get_logger
from rosepath.object_store import StoredObject

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5

_log = get_logger()
_M = TypeVar("_M", bound=BaseModel)


def parse_object(stored: StoredObject) -> dict[str, Any] | None:
    """Parse an object's JSON document, or log why it is unreadable."""
    try:
        raw = decode_json_leniently(stored.value)
    except DocumentError as error:
        _log.warning("entry_unreadable", name=stored.name, why=str(error)[:80])
        return None
    return raw if isinstance(raw, dict) else None


def parse_entries(raw: dict[str, Any], key: str, model: type[_M]) -> list[_M]:
    """Validate the entries of a list in a document; skip invalid ones."""
    items = raw.get(key) or []
    if not isinstance(items, list):
        _log.warning("configuration_entry_skipped", name=key, why="not a list")
        return []
    entries = [validate(model, entry, key) for entry in items]
    return [entry for entry in entries if entry is not None]


def validate(model: type[_M], raw: Any, where: str) -> _M | None:
    """Validate a value, or log why it is skipped."""
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        problem = error.errors(include_url=False)[0]
        _log.warning(
            "configuration_entry_skipped",
            name=where,
            key=".".join(map(str, problem["loc"])),
            why=problem["msg"],
        )
        return None


def validate_text(text: str) -> str:
    """Return the text if it can be encoded, which unpaired surrogates cannot."""
    text.encode()
    return text


def validate_address(address: str) -> str:
    """Return the address if it is an IPv4 address with a port."""
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    valid = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not (valid and 0 < int(port) <= MAX_PORT):
        raise ValueError("the port is not between 1 and 65535")
    return address
