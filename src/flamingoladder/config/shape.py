"""Finds every part of a document that does not have the type that the model asks for."""

from __future__ import annotations

from functools import reduce
from operator import or_
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from msgspec import inspect

from flamingoladder.config.problems import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = "(document)"


def shape_problems(document: object, type_: type) -> list[Problem]:
    """Return all problems of ``document`` measured against ``type_``, in document order."""
    return list(_problems(document, inspect.type_info(type_), type_, ""))


def _problems(value: object, info: inspect.Type, type_: Any, path: str) -> Iterator[Problem]:
    try:
        msgspec.convert(value, type_)
    except msgspec.ValidationError as error:
        yield from _narrowed(value, info, path, error)


def _narrowed(
    value: object, info: inspect.Type, path: str, error: msgspec.ValidationError
) -> Iterator[Problem]:
    if isinstance(info, inspect.StructType) and isinstance(value, dict):
        yield from _struct_problems(value, info, path)
    elif isinstance(info, inspect.DictType) and isinstance(value, dict):
        for key, item in value.items():
            yield from _part_problems(item, info.value_type, _join(path, str(key)))
    elif isinstance(info, inspect.VarTupleType) and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _part_problems(item, info.item_type, _join(path, str(index)))
    else:
        message = str(error).partition(" - at")[0]
        yield Problem(path or ROOT, message, f"give {_expected(info)}")


def _struct_problems(
    value: dict[str, object], info: inspect.StructType, path: str
) -> Iterator[Problem]:
    fields_by_name = {field.encode_name: field for field in info.fields}
    for name, item in value.items():
        field = fields_by_name.get(name)
        if field is None:
            known = ", ".join(sorted(fields_by_name)) or "none"
            yield Problem(_join(path, name), "unknown field", f"use one of: {known}")
        else:
            yield from _part_problems(item, field.type, _join(path, name))
    for name, field in fields_by_name.items():
        if field.required and name not in value:
            yield Problem(_join(path, name), "missing", f"add it as {_expected(field.type)}")


def _part_problems(value: object, info: inspect.Type, path: str) -> Iterator[Problem]:
    if isinstance(info, inspect.UnionType):
        present = [part for part in info.types if not isinstance(part, inspect.NoneType)]
        if value is None:
            return
        if len(present) == 1:
            info = present[0]
    yield from _problems(value, info, _python_type(info), path)


def _python_type(info: inspect.Type) -> Any:
    if isinstance(info, inspect.StructType):
        return info.cls
    if isinstance(info, inspect.DictType):
        return dict[str, _python_type(info.value_type)]  # type: ignore[misc]
    if isinstance(info, inspect.VarTupleType):
        return tuple[_python_type(info.item_type), ...]  # type: ignore[misc]
    if isinstance(info, inspect.UnionType):
        return reduce(or_, map(_python_type, info.types))
    types_by_info: dict[type, type] = {
        inspect.IntType: int,
        inspect.FloatType: float,
        inspect.StrType: str,
        inspect.BoolType: bool,
        inspect.NoneType: type(None),
    }
    return types_by_info[type(info)]


def _expected(info: inspect.Type) -> str:
    names_by_info: dict[type, str] = {
        inspect.IntType: "a whole number",
        inspect.FloatType: "a number",
        inspect.StrType: "text",
        inspect.BoolType: "true or false",
        inspect.DictType: "a mapping from names to parts",
        inspect.VarTupleType: "a list",
        inspect.StructType: "a mapping",
    }
    return names_by_info.get(type(info), "a value of the type in the reference")


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
