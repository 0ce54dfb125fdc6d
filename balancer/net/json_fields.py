"""Convert decoded JSON to typed values, with errors that name the field."""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class FieldError(ValueError):
    """A field is missing or invalid; the message has its dotted name, its value and the expected type."""


def convert(raw: object, target_type: type[T], parent: str = "") -> T:
    """Convert decoded JSON to `target_type`. Raises FieldError if a field is missing or invalid.

    `parent` is the dotted name of the field that holds `raw`; it prefixes the field names in errors.
    """
    try:
        return msgspec.convert(raw, target_type)
    except msgspec.ValidationError as err:
        text, _, path = str(err).partition(" - at `$")
    path = path.strip(".`")
    value: Any = raw
    for part in re.findall(r"[^.\[\]]+", path):
        value = value[int(part)] if isinstance(value, list) else value[part]
    path = f"{parent}.{path}".strip(".")
    if missing := re.fullmatch("Object missing required field `(.*)`", text):
        raise FieldError(f"{path}.{missing[1]} is missing".removeprefix("."))
    raise FieldError(
        f"{path or 'the JSON document'} is invalid: {value!r:.120}, {text[:1].lower()}{text[1:]}"
    )
