"""An engine's behaviour as a plain object, stepped by whoever owns time.

It batches continuously in limited memory, preempts when that runs out,
caches prompt prefixes, starts slowly and can turn cold again.
"""

import random
from collections import OrderedDict
from dataclasses import dataclass, field

_PREFIX_CHARACTERS = 64


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Speeds and sizes of an engine.

    Attributes
    ----------
    capacity
        Memory in tokens.
    most_running
        Largest batch.
    step, step_each
        Seconds of one decoding step, and for each stream in it.
    prefill_rate
        Prompt tokens read a second.
    cold_tokens
        Tokens after which a cold engine is warm.
    cold_factor
        How much slower a cold engine is for each stream in the batch.
    cold_streams
        Streams that a cold engine bears without growing slower still.
    cached_prefixes
        Prompt prefixes kept.
    """

    capacity: int = 6000
    max_batch_size: int = 64
    step: float = 0.012
    step_seconds_per_stream: float = 0.0004
    prefill_rate: float = 8000.0
    cold_tokens: int = 0
    cold_factor: float = 4.0
    cold_streams: int = 2
    cached_prefixes: int = 32


@dataclass(slots=True)
class ModelStream:
    """One generation; ``length`` is hidden from the system under test."""

    name: str
    prompt: str
    prompt_tokens: int
    length: int
    priority: int = 0
    produced: int = 0
    preempted: int = 0
    cached: bool = False
    started_at: float = 0.0

    @property
    def held(self) -> int:
        """Tokens of memory it holds while it runs."""
        return self.prompt_tokens + self.produced


@dataclass(slots=True)
class StepResult:
    """What one step did."""

    seconds: float
    emitted: list[ModelStream] = field(default_factory=list)
    finished: list[ModelStream] = field(default_factory=list)
    preempted: list[ModelStream] = field(default_factory=list)


class EngineModel:
    """A continuously batching engine."""

    def __init__(self, shape: EngineShape, seed: int = 0) -> None:
        """Start cold when the shape says so."""
        self.shape = shape
        self.running: list[ModelStream] = []
        self.waiting: list[ModelStream] = []
        self.preemptions = 0
        self.cache_events: list[str] = []
        self._random = random.Random(seed)
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._warmed = 0

    @property
    def memory(self) -> int:
        """Tokens of memory in use."""
        return sum(stream.held for stream in self.running)

    @property
    def cold(self) -> bool:
        """Whether the engine has yet to warm up."""
        return self._warmed < self.shape.cold_tokens

    def warm_up(self) -> None:
        """Start warm."""
        self._warmed = self.shape.cold_tokens

    def turn_cold(self) -> None:
        """Lose the warmth and the prefix cache."""
        self._warmed = 0
        self._prefixes.clear()

    def submit(self, stream: ModelStream) -> None:
        """Queue a generation."""
        self.waiting.append(stream)

    def cancel(self, name: str) -> bool:
        """Drop a generation."""
        for streams in (self.running, self.waiting):
            for stream in streams:
                if stream.name == name:
                    streams.remove(stream)
                    return True
        return False

    def step(self) -> StepResult:
        """Take one decoding step."""
        prefill = self._admit()
        result = StepResult(seconds=self._duration(prefill))
        for stream in list(self.running):
            stream.produced += 1
            result.emitted.append(stream)
            if stream.produced >= stream.length:
                self.running.remove(stream)
                result.finished.append(stream)
        self._warmed += len(result.emitted)
        while self.memory > self.shape.capacity and len(self.running) > 1:
            result.preempted.append(self._preempt())
        return result

    def _admit(self) -> int:
        prefill = 0
        self.waiting.sort(key=lambda stream: -stream.priority)
        while self.waiting and len(self.running) < self.shape.max_batch_size:
            stream = self.waiting[0]
            room = self.shape.capacity - self.memory
            if self.running and stream.held + 1 > room:
                break
            self.waiting.pop(0)
            self.running.append(stream)
            prefill += self._read_prompt(stream)
        return prefill

    def _read_prompt(self, stream: ModelStream) -> int:
        prefix = stream.prompt[:_PREFIX_CHARACTERS]
        stream.cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        self.cache_events.append(prefix)
        if len(self._prefixes) > self.shape.cached_prefixes:
            self._prefixes.popitem(last=False)
        # A preempted stream has to read again what it had produced.
        read = stream.produced
        return read if stream.cached else read + stream.prompt_tokens

    def _duration(self, prefill: int) -> float:
        shape = self.shape
        batch = len(self.running)
        seconds = shape.step + shape.step_seconds_per_stream * batch
        seconds += prefill / shape.prefill_rate
        if self.cold:
            seconds *= shape.cold_factor
            seconds *= max(1.0, batch / shape.cold_streams)
        return seconds

    def _preempt(self) -> ModelStream:
        # The newest of the lowest priority goes, as engines of this kind do.
        least = min(stream.priority for stream in self.running)
        victim = [each for each in self.running if each.priority == least][-1]
        self.running.remove(victim)
        victim.preempted += 1
        self.preemptions += 1
        self.waiting.insert(0, victim)
        return victim
