"""Reads, changes and compares settings documents by path."""

from copy import deepcopy
from itertools import chain
from typing import Any

from .errors import ErrorKind, RequestFailedError

__all__ = (
    'delete_at',
    'find_differences',
    'get_at',
    'paths_overlap',
    'put_at',
    'split_path',
)

_MAX_PATH_LENGTH = 512

Path = tuple[str, ...]


def split_path(path: str) -> Path:
    """Return the parts of a slash-separated path; the root has none.

    Raises
    ------
    RequestFailedError
        ``invalid_request`` when the path is too long.
    """
    if len(path) > _MAX_PATH_LENGTH:
        raise RequestFailedError(ErrorKind.invalid_request, 'path too long')
    return tuple(part for part in path.split('/') if part)


def get_at(document: Any, path: Path) -> Any:
    """Return the value at a path.

    Raises
    ------
    RequestFailedError
        ``not_found`` when the path does not exist.
    """
    current = document
    for part in path:
        if not isinstance(current, dict) or part not in current:
            raise _not_found_error(path)
        current = current[part]
    return current


def put_at(document: Any, path: Path, replacement: Any) -> Any:
    """Return a copy of the document with a value put at a path.

    Raises
    ------
    RequestFailedError
        ``not_found`` when the path leads through a value that is not an
        object.
    """
    if not path:
        return replacement
    changed = deepcopy(document)
    target = changed
    for part in path[:-1]:
        target = target.setdefault(part, {})
        if not isinstance(target, dict):
            raise _not_found_error(path)
    target[path[-1]] = replacement
    return changed


def delete_at(document: Any, path: Path) -> Any:
    """Return a copy of the document without the value at a path.

    Raises
    ------
    RequestFailedError
        ``not_found`` when the path does not exist.
    """
    get_at(document, path)
    if not path:
        return {}
    changed = deepcopy(document)
    get_at(changed, path[:-1]).pop(path[-1])
    return changed


def paths_overlap(one: Path, other: Path) -> bool:
    """Return whether one path is equal to the other or contains it."""
    common = min(len(one), len(other))
    return one[:common] == other[:common]


def find_differences(before: Any, after: Any, path: Path = ()) -> list[str]:
    """Return a line for each path at which two documents differ.

    Lines start with ``+`` for an added, ``-`` for a removed and ``~`` for a
    changed value.
    """
    if isinstance(before, dict) and isinstance(after, dict):
        return _compare_members(before, after, path)
    if before == after:
        return []
    return [f'~ {_format_path(path)}: {before!r} -> {after!r}']


def _compare_members(before: Any, after: Any, path: Path) -> list[str]:
    names = sorted({*before, *after})
    compared = (_compare_member(before, after, (*path, name)) for name in names)
    return list(chain.from_iterable(compared))


def _compare_member(before: Any, after: Any, path: Path) -> list[str]:
    name = path[-1]
    path_text = _format_path(path)
    if name not in before:
        return [f'+ {path_text}: {after[name]!r}']
    if name not in after:
        return [f'- {path_text}: {before[name]!r}']
    return find_differences(before[name], after[name], path)


def _not_found_error(path: Path) -> RequestFailedError:
    return RequestFailedError(
        ErrorKind.not_found, f'nothing at {_format_path(path)}'
    )


def _format_path(path: Path) -> str:
    return '/{}'.format('/'.join(path))
