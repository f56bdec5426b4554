"""Numbers that other processes state, small enough to reckon with."""

from typing import Annotated

import msgspec

__all__ = (
    'BoundedCount',
    'BoundedInteger',
    'PositiveCount',
    'PositiveInteger',
)

_MAX_COUNT = 1_000_000
# Far larger ones cannot be converted to floats.
_MAX_INTEGER = 9_223_372_036_854_775_807

BoundedCount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
BoundedInteger = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=_MAX_COUNT)]
PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=_MAX_INTEGER)]
