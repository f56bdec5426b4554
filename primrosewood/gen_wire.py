"""Generated from schema/wire.json by tools/generate.sh."""

from __future__ import annotations

from typing import Annotated, TypeAlias

from msgspec import Meta, Struct, UnsetType, field


class Admitted(Struct, array_like=True):
    attempt: str
    generation: str
    load: Load


class BlamedCall(Struct, array_like=True):
    """
    A call that was under way at a back end as it ended.
    """

    marks: Annotated[
        list[str], Meta(description='By which the call is recognised, sorted.')
    ]
    """
    By which the call is recognised, sorted.
    """
    organisation: Annotated[str, Meta(description='Whose call it was.')]
    """
    Whose call it was.
    """
    milliseconds: Annotated[int, Meta(description='Since it was sent.', ge=0)]
    """
    Since it was sent.
    """
    events: Annotated[
        int, Meta(description='Events of its answer that had come.', ge=0)
    ]
    """
    Events of its answer that had come.
    """


class CallPlaced(Struct, array_like=True):
    """
    Announces a generation that an entry is sending to the engine beside the receiver.
    """

    attempt: Annotated[
        str, Meta(description="The attempt's name, as the calling entry chose it.")
    ]
    """
    The attempt's name, as the calling entry chose it.
    """
    unread_tokens: Annotated[
        int, Meta(description='Prompt tokens that the engine has to prefill.', ge=0)
    ]
    """
    Prompt tokens that the engine has to prefill.
    """
    whole_tokens: Annotated[
        int, Meta(description='Tokens of the prompt and of the expected answer.', ge=0)
    ]
    """
    Tokens of the prompt and of the expected answer.
    """


class Cancel(Struct, array_like=True):
    attempt: str
    at_once: (
        Annotated[
            bool,
            Meta(
                description='Stop the work immediately, rather than when no reader has resumed it in time.'
            ),
        ]
        | UnsetType
    ) = True
    """
    Stop the work immediately, rather than when no reader has resumed it in time.
    """


class CapacityQuery(Struct, array_like=True):
    """
    Asks an entry which engines have free memory for moved generations.
    """

    service: Annotated[
        str,
        Meta(
            description='Ignored. Older processes state the service in their settings; empty from newer ones.'
        ),
    ]
    """
    Ignored. Older processes state the service in their settings; empty from newer ones.
    """
    boot: (
        Annotated[
            int,
            Meta(
                description='Which start of the engine beside the sender asks; 0 from older processes.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Which start of the engine beside the sender asks; 0 from older processes.
    """


class CapacityReply(Struct, array_like=True):
    """
    Answer to CapacityQuery.
    """

    engines: list[EngineCapacity]
    service: (
        Annotated[
            str,
            Meta(
                description='Service of the asking engine and of these; empty if the sender does not know which engine asks.'
            ),
        ]
        | UnsetType
    ) = ''
    """
    Service of the asking engine and of these; empty if the sender does not know which engine asks.
    """
    name: (
        Annotated[
            str, Meta(description='Name of the asking engine; empty as the service.')
        ]
        | UnsetType
    ) = ''
    """
    Name of the asking engine; empty as the service.
    """
    boot: (
        Annotated[
            int,
            Meta(
                description='Which start of the asking engine this answers; 0 from older processes.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Which start of the asking engine this answers; 0 from older processes.
    """


class ClaimQuery(Struct, array_like=True):
    """
    A claim, sent to the process that writes its shard.
    """

    attempt: Annotated[
        str, Meta(description='Channel on which the answer is expected.')
    ]
    """
    Channel on which the answer is expected.
    """
    record: ClaimRecord
    replaces: Annotated[
        str,
        Meta(
            description='Nonce of the claim that this one replaces; empty for the first.'
        ),
    ]
    """
    Nonce of the claim that this one replaces; empty for the first.
    """


class ClaimRecord(Struct, array_like=True):
    """
    The claim of the attempt that may run the request of an idempotency key.
    """

    digest: str
    nonce: str
    attempt: str
    number: Annotated[int, Meta(ge=1)]
    endpoint: str
    incarnation: str
    body_digest: str
    claimed_at: Annotated[
        int,
        Meta(
            description='Time of the claim in seconds, by the wall clock of the claiming process.'
        ),
    ]
    """
    Time of the claim in seconds, by the wall clock of the claiming process.
    """


class ClaimReply(Struct, array_like=True):
    """
    The claim in force; null when the writer could not read or write it.
    """

    attempt: str
    record: ClaimRecord | None


CopyItem: TypeAlias = Annotated[int, Meta(ge=0)]


Copy: TypeAlias = Annotated[list[CopyItem], Meta(max_length=3, min_length=3)]


class CrashReport(Struct, array_like=True):
    """
    What an entry knows of the end of a back end that worked on its calls, for the other entries.
    """

    endpoint: Annotated[str, Meta(description="The back end's name.")]
    """
    The back end's name.
    """
    boot: Annotated[
        int,
        Meta(description='Identifies the start of the back end; 0 if unknown.', ge=0),
    ]
    """
    Identifies the start of the back end; 0 if unknown.
    """
    service: Annotated[str, Meta(description='Name of the service.')]
    """
    Name of the service.
    """
    organisations: Annotated[list[str], Meta(description='Whose calls they were.')]
    """
    Whose calls they were.
    """
    parts: Annotated[list[str], Meta(description='Marks of the calls.')]
    """
    Marks of the calls.
    """
    cleared: Annotated[
        list[str],
        Meta(description='Those of the marks with which a call was answered since.'),
    ]
    """
    Those of the marks with which a call was answered since.
    """
    reporters: Annotated[list[str], Meta(description='Entries whose calls they were.')]
    """
    Entries whose calls they were.
    """
    calls: (
        Annotated[
            list[BlamedCall],
            Meta(description='The calls one by one; none from older processes.'),
        ]
        | UnsetType
    ) = field(default_factory=list)
    """
    The calls one by one; none from older processes.
    """
    certain: (
        Annotated[
            bool,
            Meta(
                description='Whether the back end is known to have ended; if not, connections to it broke.'
            ),
        ]
        | UnsetType
    ) = True
    """
    Whether the back end is known to have ended; if not, connections to it broke.
    """
    age_ms: (
        Annotated[int, Meta(description='Milliseconds since the end.', ge=0)]
        | UnsetType
    ) = 0
    """
    Milliseconds since the end.
    """


class Credit(Struct, array_like=True):
    """
    Flow-control credit: the receiver has forwarded all tokens below the offset.
    """

    attempt: str
    offset: Annotated[int, Meta(ge=0)]


class EngineCapacity(Struct, array_like=True):
    """
    An engine and its free memory.
    """

    address: Annotated[str, Meta(description='host:port')]
    """
    host:port
    """
    failure_domain: str
    free_tokens: Annotated[int, Meta(ge=0)]
    receiving: (
        Annotated[
            bool,
            Meta(description='Whether a generation is being copied to the engine.'),
        ]
        | UnsetType
    ) = False
    """
    Whether a generation is being copied to the engine.
    """
    name: (
        Annotated[
            str,
            Meta(
                description="The engine's name; empty if the sender does not state it."
            ),
        ]
        | UnsetType
    ) = ''
    """
    The engine's name; empty if the sender does not state it.
    """
    boot: (
        Annotated[
            int,
            Meta(
                description='Which start of the engine this is; 0 from older processes.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Which start of the engine this is; 0 from older processes.
    """


class EngineFound(Struct, array_like=True):
    """
    Announcement of an engine by the process beside it.
    """

    name: Annotated[str, Meta(description="The engine's name for this start of it.")]
    """
    The engine's name for this start of it.
    """
    address: Annotated[str, Meta(description='host:port')]
    """
    host:port
    """
    service: Annotated[str, Meta(description='Service in the settings of the process.')]
    """
    Service in the settings of the process.
    """
    failure_domain: str
    boot: (
        Annotated[
            int,
            Meta(
                description='Which start of its process this is; 0 if the sender does not know it.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Which start of its process this is; 0 if the sender does not know it.
    """
    process_seconds: (
        Annotated[
            float,
            Meta(
                description='For how long the process has looked at the address; it saw this engine start and no other one. Negative from older processes, which announce any engine.'
            ),
        ]
        | UnsetType
    ) = -1
    """
    For how long the process has looked at the address; it saw this engine start and no other one. Negative from older processes, which announce any engine.
    """


class EngineReport(Struct, array_like=True):
    """
    An engine's load report, which the process beside it sends to every entry.
    """

    running: Annotated[int, Meta(ge=0)]
    queued: Annotated[int, Meta(ge=0)]
    used_tokens: Annotated[
        int, Meta(description='Memory in use that cannot be freed.', ge=0)
    ]
    """
    Memory in use that cannot be freed.
    """
    total_tokens: Annotated[int, Meta(ge=0)]
    leaving: (
        Annotated[bool, Meta(description='The engine is about to leave.')] | UnsetType
    ) = False
    """
    The engine is about to leave.
    """
    entries: (
        Annotated[
            int, Meta(description='Entries that are connected to the sender.', ge=0)
        ]
        | UnsetType
    ) = 0
    """
    Entries that are connected to the sender.
    """
    unread_tokens: (
        Annotated[
            int, Meta(description='Prompt tokens in prefill or waiting for it.', ge=0)
        ]
        | UnsetType
    ) = 0
    """
    Prompt tokens in prefill or waiting for it.
    """
    generating: (
        Annotated[
            int, Meta(description='Generations that have produced an event.', ge=0)
        ]
        | UnsetType
    ) = 0
    """
    Generations that have produced an event.
    """
    token_micros: (
        Annotated[
            int,
            Meta(
                description='Recent mean time per token, in microseconds; 0 when nothing ran.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Recent mean time per token, in microseconds; 0 when nothing ran.
    """
    copying_to: (
        Annotated[
            str,
            Meta(
                description='Engine to which a generation is being copied, as host:port; empty for none.'
            ),
        ]
        | UnsetType
    ) = ''
    """
    Engine to which a generation is being copied, as host:port; empty for none.
    """
    queued_tokens: (
        Annotated[
            int,
            Meta(
                description='Prompt tokens of the waiting generations, which have no memory yet.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Prompt tokens of the waiting generations, which have no memory yet.
    """
    freed_per_second: (
        Annotated[
            int,
            Meta(
                description='Memory in tokens that ending generations have lately freed each second.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Memory in tokens that ending generations have lately freed each second.
    """
    waited_ms: (
        Annotated[
            int,
            Meta(
                description='How long the first of the waiting generations has waited for its first event, in milliseconds.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    How long the first of the waiting generations has waited for its first event, in milliseconds.
    """
    boot: (
        Annotated[
            int,
            Meta(
                description='Start of the engine; 0 if it is that of an earlier report on the link, or not known.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Start of the engine; 0 if it is that of an earlier report on the link, or not known.
    """


class EngineRetired(Struct, array_like=True):
    """
    Tells the process beside an engine to move its generations away, as a roll-out will stop the engine.
    """

    seconds: Annotated[
        float,
        Meta(
            description='Seconds until the engine is stopped; negative if it is not to be stopped after all.'
        ),
    ]
    """
    Seconds until the engine is stopped; negative if it is not to be stopped after all.
    """
    boot: (
        Annotated[
            int,
            Meta(
                description='Which start of the engine is to be stopped; 0 from older processes.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Which start of the engine is to be stopped; 0 from older processes.
    """


class Failed(Struct, array_like=True):
    attempt: str
    kind: str
    message: str


class Fetch(Struct, array_like=True):
    """
    Requests the answer of an earlier attempt that claimed the same idempotency key.
    """

    attempt: str
    claimed_attempt: str
    incarnation: str
    organisation: str


class Finished(Struct, array_like=True):
    attempt: str
    total: Annotated[int, Meta(ge=0)]
    finish_reason: str
    prompt_tokens: int
    load: Load


class Heartbeat(Struct, array_like=True):
    digest: Annotated[
        int, Meta(description="Digest of the sender's settings revisions.", ge=0)
    ]
    """
    Digest of the sender's settings revisions.
    """
    load: Load | None


class Hello(Struct, array_like=True):
    process: Annotated[str, Meta(max_length=200)]
    incarnation: Annotated[str, Meta(max_length=64)]
    key: Annotated[str, Meta(max_length=200)]
    wants_retries: (
        Annotated[
            bool,
            Meta(
                description='Whether the sender understands RetryRecall and waits for it.'
            ),
        ]
        | UnsetType
    ) = False
    """
    Whether the sender understands RetryRecall and waits for it.
    """
    confirms_stops: (
        Annotated[bool, Meta(description='Whether the sender understands StopQuery.')]
        | UnsetType
    ) = False
    """
    Whether the sender understands StopQuery.
    """


class LimitReport(Struct, array_like=True):
    """
    The rate limit that a back end stated, and the calls that the sender made to it.
    """

    endpoint: Annotated[str, Meta(description="The back end's name.")]
    """
    The back end's name.
    """
    rate: (
        Annotated[
            Rate,
            Meta(
                description='Calls per second that it accepts from all entries together; null without a limit.'
            ),
        ]
        | None
    )
    """
    Calls per second that it accepts from all entries together; null without a limit.
    """
    age_ms: Annotated[
        int, Meta(description='Time since the back end stated the limit.', ge=0)
    ]
    """
    Time since the back end stated the limit.
    """
    calls: Annotated[
        int, Meta(description='Calls made to it that were not yet reported.', ge=0)
    ]
    """
    Calls made to it that were not yet reported.
    """
    boot: (
        Annotated[
            int,
            Meta(
                description='Which start of the back end this is about; 0 from older processes.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Which start of the back end this is about; 0 from older processes.
    """


class Load(Struct, array_like=True):
    """
    Latest known load of an endpoint.
    """

    running: Annotated[int, Meta(ge=0)]
    queued: Annotated[int, Meta(ge=0)]
    limit: Annotated[int, Meta(ge=0)]
    memory: (
        Annotated[
            int,
            Meta(
                description='Reserved engine memory, in thousandths of its capacity.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Reserved engine memory, in thousandths of its capacity.
    """
    leaving: bool | UnsetType = False
    refusing: bool | UnsetType = False


class NotRun(Struct, array_like=True):
    attempt: str
    kind: str
    retry_ms: int
    load: Load


class Offer(Struct, array_like=True):
    """
    An attempt at a request, offered to one endpoint.
    """

    request: str
    attempt: str
    team: str
    service: str
    organisation: str
    deadline_ms: int
    body: bytes
    key_digest: str | UnsetType = ''
    streamed: bool | UnsetType = False
    prompt: str | UnsetType = ''
    max_tokens: int | UnsetType = 0
    method: str | UnsetType = ''
    path: str | UnsetType = ''
    content_type: str | UnsetType = ''


class PairsQuery(Struct, array_like=True):
    """
    Asks other entries for changes of the key-value service when it does not answer the sender.
    """

    asker: Annotated[str, Meta(description='Name of the requesting process.')]
    """
    Name of the requesting process.
    """
    since: Annotated[int, Meta(description='Latest revision that it knows.', ge=0)]
    """
    Latest revision that it knows.
    """
    to_all: (
        Annotated[
            bool,
            Meta(
                description="Whether all entries get the message, because the sender's previous read failed and it reads again now; otherwise a few get it."
            ),
        ]
        | UnsetType
    ) = False
    """
    Whether all entries get the message, because the sender's previous read failed and it reads again now; otherwise a few get it.
    """
    answer_wanted: (
        Annotated[
            bool,
            Meta(
                description='False for entries that only learn that the sender reads again.'
            ),
        ]
        | UnsetType
    ) = True
    """
    False for entries that only learn that the sender reads again.
    """


class PairsUpdate(Struct, array_like=True):
    """
    Changes of the key-value service, as one entry read them.
    """

    asker: Annotated[
        str,
        Meta(
            description='Name of the requesting process; empty when the message is for all.'
        ),
    ]
    """
    Name of the requesting process; empty when the message is for all.
    """
    since: Annotated[
        int, Meta(description='Revision after which the changes begin.', ge=0)
    ]
    """
    Revision after which the changes begin.
    """
    newest: Annotated[
        int, Meta(description='Latest revision that the answering process knows.', ge=0)
    ]
    """
    Latest revision that the answering process knows.
    """
    pairs: list[StoredPair]
    reader: (
        Annotated[
            str,
            Meta(
                description='Name of the process that sends the changes; empty from older processes.'
            ),
        ]
        | UnsetType
    ) = ''
    """
    Name of the process that sends the changes; empty from older processes.
    """
    pieces: (
        Annotated[
            int,
            Meta(
                description='Number of messages in which the changes are sent, each by way of another process.',
                ge=1,
            ),
        ]
        | UnsetType
    ) = 1
    """
    Number of messages in which the changes are sent, each by way of another process.
    """
    piece: (
        Annotated[
            int, Meta(description='Number of this message among them, from 0.', ge=0)
        ]
        | UnsetType
    ) = 0
    """
    Number of this message among them, from 0.
    """
    digest: (
        Annotated[
            int,
            Meta(
                description='Digest of all keys and contents that the sender holds at the latest revision; 0 from older processes.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Digest of all keys and contents that the sender holds at the latest revision; 0 from older processes.
    """


class Queued(Struct, array_like=True):
    attempt: str
    wait_ms: int


Rate: TypeAlias = Annotated[
    float,
    Meta(
        description='Calls per second that it accepts from all entries together; null without a limit.',
        ge=0.0,
    ),
]
"""
Calls per second that it accepts from all entries together; null without a limit.
"""


class Reply(Struct, array_like=True):
    """
    The complete answer of a plain service.
    """

    attempt: str
    status: int
    content_type: str
    body: bytes
    load: Load


Request: TypeAlias = Annotated[int, Meta(ge=0)]


class Resume(Struct, array_like=True):
    attempt: str
    generation: str
    organisation: str
    offset: Annotated[int, Meta(ge=0)]


Retry: TypeAlias = Annotated[int, Meta(ge=0)]


class RetryRecall(Struct, array_like=True):
    """
    What an entry told of its retries before its process was restarted.
    """

    known_ms: Annotated[
        int,
        Meta(
            description='For how long the sender has known the entry by its name.', ge=0
        ),
    ]
    """
    For how long the sender has known the entry by its name.
    """
    counted: list[RetryRecord]


class RetryRecord(Struct, array_like=True):
    """
    Requests and retries of one service within the last window, as an entry counted them.
    """

    service: str
    age_ms: Annotated[
        int, Meta(description='Time since the numbers were counted.', ge=0)
    ]
    """
    Time since the numbers were counted.
    """
    interval_ms: Annotated[
        int,
        Meta(
            description='Length of the intervals for which there is a number each.',
            ge=1,
        ),
    ]
    """
    Length of the intervals for which there is a number each.
    """
    requests: Annotated[
        list[Request],
        Meta(description='Requests of callers in each interval, the latest one first.'),
    ]
    """
    Requests of callers in each interval, the latest one first.
    """
    retries: Annotated[
        list[Retry], Meta(description='Retries in each interval, the latest one first.')
    ]
    """
    Retries in each interval, the latest one first.
    """
    held: (
        Annotated[
            int,
            Meta(
                description='Further retries, which count until an earlier send of their call is settled.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Further retries, which count until an earlier send of their call is settled.
    """


class RetryReport(Struct, array_like=True):
    """
    Retries of an entry, which the receiver keeps for the entry's next process.
    """

    entry: Annotated[str, Meta(description='Name of the entry.')]
    """
    Name of the entry.
    """
    counted: RetryRecord


class RolloutReport(Struct, array_like=True):
    """
    Outcomes that an entry has seen during a roll-out, for the other entries.
    """

    sender: Annotated[str, Meta(description='Name of the entry.')]
    """
    Name of the entry.
    """
    service: Annotated[str, Meta(description='Name of the service.')]
    """
    Name of the service.
    """
    order: Annotated[int, Meta(description="Revision of the operators' order.", ge=0)]
    """
    Revision of the operators' order.
    """
    fault: Annotated[
        str,
        Meta(
            description='Why the sender believes that the new version is bad; empty if it does not.'
        ),
    ]
    """
    Why the sender believes that the new version is bad; empty if it does not.
    """
    tallies: Annotated[
        list[RolloutTally], Meta(description='The tallies that changed.')
    ]
    """
    The tallies that changed.
    """


class RolloutTally(Struct, array_like=True):
    """
    Outcomes of one entry's calls on one route during a roll-out.
    """

    route: Annotated[str, Meta(description='Name of the route.')]
    """
    Name of the route.
    """
    engine: Annotated[
        str,
        Meta(
            description='Name of the engine; empty for the sum over all engines of the version in force.'
        ),
    ]
    """
    Name of the engine; empty for the sum over all engines of the version in force.
    """
    is_new: Annotated[bool, Meta(description='Whether the engine has the new version.')]
    """
    Whether the engine has the new version.
    """
    calls: Annotated[int, Meta(description='Calls that were answered or failed.', ge=0)]
    """
    Calls that were answered or failed.
    """
    failures: Annotated[
        int,
        Meta(
            description='Calls that failed, or were answered with an error of the engine.',
            ge=0,
        ),
    ]
    """
    Calls that failed, or were answered with an error of the engine.
    """
    paces: Annotated[int, Meta(description='Answers with a known pace.', ge=0)]
    """
    Answers with a known pace.
    """
    pace_sum: Annotated[
        float, Meta(description='Sum of the logarithms of their paces.')
    ]
    """
    Sum of the logarithms of their paces.
    """
    pace_squares: Annotated[
        float, Meta(description='Sum of the squares of these logarithms.')
    ]
    """
    Sum of the squares of these logarithms.
    """


class RunMoved(Struct, array_like=True):
    """
    A generation was stopped and continues from a copy of its KV cache.
    """

    attempt: Annotated[
        str, Meta(description="The attempt's name, as the calling entry chose it.")
    ]
    """
    The attempt's name, as the calling entry chose it.
    """
    source: Annotated[str, Meta(description='Engine that made the copy, as host:port.')]
    """
    Engine that made the copy, as host:port.
    """
    handle: Annotated[
        str,
        Meta(
            description="The source's name for the copy; empty when the generation could not be moved."
        ),
    ]
    """
    The source's name for the copy; empty when the generation could not be moved.
    """
    target: Annotated[
        str, Meta(description='Engine that holds the copy, as host:port.')
    ]
    """
    Engine that holds the copy, as host:port.
    """
    target_name: (
        Annotated[
            str, Meta(description='Its name; empty if the sender does not know it.')
        ]
        | UnsetType
    ) = ''
    """
    Its name; empty if the sender does not know it.
    """
    service: (
        Annotated[
            str,
            Meta(description='Service of both engines; empty from older processes.'),
        ]
        | UnsetType
    ) = ''
    """
    Service of both engines; empty from older processes.
    """
    source_boot: (
        Annotated[
            int,
            Meta(
                description='Which start of the source made the copy; 0 from older processes.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Which start of the source made the copy; 0 from older processes.
    """
    target_boot: (
        Annotated[
            int,
            Meta(
                description='Which start of the target holds the copy; 0 from older processes.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Which start of the target holds the copy; 0 from older processes.
    """


class SettingsPull(Struct, array_like=True):
    revisions: dict[str, int]


class SettingsPush(Struct, array_like=True):
    records: list[SettingsRecord]


class SettingsRecord(Struct, array_like=True):
    """
    A team's settings at one revision; an empty document marks a deletion.
    """

    team: str
    revision: Annotated[int, Meta(ge=1)]
    document: Annotated[
        str, Meta(description="The team's settings as JSON text, empty when deleted.")
    ]
    """
    The team's settings as JSON text, empty when deleted.
    """


class StopPolicy(Struct, array_like=True):
    """
    Sent first by the process beside an engine to entries that confirm stops.
    """

    announces_stops: Annotated[
        bool, Meta(description='Whether it sends a StopQuery before each stop.')
    ]
    """
    Whether it sends a StopQuery before each stop.
    """


class StopQuery(Struct, array_like=True):
    """
    A generation is about to be stopped by a move; the entry that holds its stream answers.
    """

    attempt: Annotated[
        str, Meta(description="The attempt's name, as the calling entry chose it.")
    ]
    """
    The attempt's name, as the calling entry chose it.
    """
    source: Annotated[str, Meta(description='Engine that runs it, as host:port.')]
    """
    Engine that runs it, as host:port.
    """
    boot: Annotated[int, Meta(description='Its start that runs it.', ge=0)]
    """
    Its start that runs it.
    """
    number: Annotated[
        int,
        Meta(
            description='Of the question, so that a late answer to an earlier one does not count.',
            ge=0,
        ),
    ]
    """
    Of the question, so that a late answer to an earlier one does not count.
    """


class StopReply(Struct, array_like=True):
    """
    Answer to StopQuery.
    """

    attempt: Annotated[str, Meta(description="The attempt's name.")]
    """
    The attempt's name.
    """
    boot: Annotated[
        int, Meta(description="The engine's start that was asked about.", ge=0)
    ]
    """
    The engine's start that was asked about.
    """
    number: Annotated[int, Meta(description='Number of the question.', ge=0)]
    """
    Number of the question.
    """
    agrees: Annotated[
        bool,
        Meta(
            description='Whether the generation may be stopped, as its stream can go on elsewhere.'
        ),
    ]
    """
    Whether the generation may be stopped, as its stream can go on elsewhere.
    """


class StoredPair(Struct, array_like=True):
    """
    A key with its stored value, or its deletion.
    """

    key: str
    revision: Annotated[int, Meta(ge=0)]
    deleted: bool
    stored: Annotated[
        bytes,
        Meta(description='The value, or what a patch inserts; empty when deleted.'),
    ]
    """
    The value, or what a patch inserts; empty when deleted.
    """
    base: (
        Annotated[
            int,
            Meta(
                description='Revision of the value that a patch applies to; 0 when the complete value is sent.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Revision of the value that a patch applies to; 0 when the complete value is sent.
    """
    packed: (
        Annotated[bool, Meta(description='The stored bytes are compressed.')]
        | UnsetType
    ) = False
    """
    The stored bytes are compressed.
    """
    copies: (
        Annotated[
            list[Copy],
            Meta(
                description='Operations of a patch: number of inserted bytes to take, then start and length of the range to copy from the base.'
            ),
        ]
        | UnsetType
    ) = field(default_factory=list)
    """
    Operations of a patch: number of inserted bytes to take, then start and length of the range to copy from the base.
    """


class TargetQuery(Struct, array_like=True):
    """
    Asks an entry whether an engine still takes calls, before a generation stops for its last copy there.
    """

    service: str
    address: Annotated[str, Meta(description='host:port')]
    """
    host:port
    """
    name: Annotated[str, Meta(description="The engine's name; empty if unknown.")]
    """
    The engine's name; empty if unknown.
    """
    boot: (
        Annotated[
            int,
            Meta(
                description='Which start of the engine is meant; 0 from older processes.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Which start of the engine is meant; 0 from older processes.
    """


class TargetReply(Struct, array_like=True):
    """
    Answer to TargetQuery.
    """

    address: Annotated[str, Meta(description='host:port')]
    """
    host:port
    """
    takes_calls: bool
    name: (
        Annotated[
            str,
            Meta(
                description='Name of the engine that was asked about; empty from older processes.'
            ),
        ]
        | UnsetType
    ) = ''
    """
    Name of the engine that was asked about; empty from older processes.
    """
    boot: (
        Annotated[
            int,
            Meta(
                description='Its start that was asked about; 0 from older processes.',
                ge=0,
            ),
        ]
        | UnsetType
    ) = 0
    """
    Its start that was asked about; 0 from older processes.
    """


class Tokens(Struct, array_like=True):
    attempt: str
    offset: Annotated[
        int, Meta(description='Index of the first token of this message.', ge=0)
    ]
    """
    Index of the first token of this message.
    """
    pieces: list[str]


class Welcome(Struct, array_like=True):
    process: str
    incarnation: str
    failure_domain: str
    load: Load


class Wire(Struct):
    """
    Messages between the processes of the system.
    """
