"""Conversion of decoded JSON to typed values, with errors that name the field."""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

Form = TypeVar("Form")


class FieldError(ValueError):
    """A field is missing or has no usable value; the text has its dotted name, value and expected type."""


def convert(raw: object, form: type[Form], parent: str = "") -> Form:
    """Convert decoded JSON to `form`. Raises FieldError.

    `parent` is the dotted name of the field whose value `raw` is.
    """
    try:
        return msgspec.convert(raw, form)
    except msgspec.ValidationError as err:
        text, _, path = str(err).partition(" - at `$")
    path = path.strip(".`")
    value: Any = raw
    for part in re.findall(r"[^.\[\]]+", path):
        value = value[int(part)] if isinstance(value, list) else value[part]
    path = f"{parent}.{path}".strip(".")
    if missing := re.fullmatch("Object missing required field `(.*)`", text):
        raise FieldError(f"{path}.{missing[1]} is missing".removeprefix("."))
    raise FieldError(f"{path or 'the whole'} makes no sense: {value!r:.120}, {text[:1].lower()}{text[1:]}")
