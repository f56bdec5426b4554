"""Generated from schema/caller.json by tools/generate.sh."""

from __future__ import annotations

from typing import Annotated, Literal, TypeAlias

from msgspec import UNSET, Meta, Struct, UnsetType


class Caller(Struct):
    """
    Request bodies of callers: the fields that the system reads.
    """


class ChatMessage(Struct):
    role: Literal['system', 'developer', 'user', 'assistant', 'tool']
    content: str | list[TextPart]


class ChatRequest(Struct):
    model: Annotated[str, Meta(max_length=200)]
    messages: Annotated[list[ChatMessage], Meta(min_length=1)]
    max_tokens: MaxTokens | None | UnsetType = UNSET
    max_completion_tokens: MaxCompletionTokens | None | UnsetType = UNSET
    n: Annotated[int, Meta(ge=1, le=1)] | UnsetType = 1
    stream: bool | UnsetType = False
    stream_options: StreamOptions | None | UnsetType = UNSET


class CompletionRequest(Struct):
    model: Annotated[str, Meta(max_length=200)]
    prompt: str
    max_tokens: Annotated[int, Meta(ge=1, le=200000)] | UnsetType = 4096
    n: Annotated[int, Meta(ge=1, le=1)] | UnsetType = 1
    stream: bool | UnsetType = False
    stream_options: StreamOptions | None | UnsetType = UNSET


MaxCompletionTokens: TypeAlias = Annotated[int, Meta(ge=1, le=200000)]


MaxTokens: TypeAlias = Annotated[int, Meta(ge=1, le=200000)]


class StreamOptions(Struct):
    include_usage: bool | UnsetType = False


class TextPart(Struct):
    type: Literal['text']
    text: str
