"""Simulation of a model engine that decodes in discrete steps.

The engine does continuous batching within a limited KV cache, preempts
streams when the cache is full, caches prompt prefixes, is slow while cold and
can turn cold again.  It keeps no time of its own: the caller advances a real
or virtual clock by the duration of each step.
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
        Size of the KV cache, in tokens.
    max_batch_size
        Largest batch, in streams.
    step, step_seconds_per_stream
        Seconds that one decoding step takes, and the seconds that each stream
        of the batch adds.
    prefill_rate
        Prompt tokens processed per second.
    cold_tokens
        Tokens that a cold engine generates before it is warm; 0 for an engine
        that is warm from the start.
    cold_factor
        Factor by which a cold engine is slower than a warm one.
    cold_batch_size
        Batch size above which a cold engine slows down further, in proportion
        to the batch.
    max_cached_prefixes
        Prompt prefixes that the cache keeps; the least recently used is
        evicted.
    """

    capacity: int = 6000
    max_batch_size: int = 64
    step: float = 0.012
    step_seconds_per_stream: float = 0.0004
    prefill_rate: float = 8000.0
    cold_tokens: int = 0
    cold_factor: float = 4.0
    cold_batch_size: int = 2
    max_cached_prefixes: int = 32


@dataclass(slots=True)
class ModelStream:
    """A generation.

    Attributes
    ----------
    prompt_tokens
        Length of the prompt.
    length
        Tokens that the generation will produce; the system under test cannot
        know it beforehand.
    priority
        A stream with a higher one is admitted earlier and preempted later.
    produced
        Tokens produced so far.
    preempted
        How often the stream was preempted.
    cached
        Whether the prompt's prefix was in the cache at the last admission.
    """

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
        """Tokens of KV cache that the stream holds while it runs."""
        return self.prompt_tokens + self.produced


@dataclass(slots=True)
class StepResult:
    """Duration of a decoding step, and the streams that it affected."""

    seconds: float
    emitted: list[ModelStream] = field(default_factory=list)
    finished: list[ModelStream] = field(default_factory=list)
    preempted: list[ModelStream] = field(default_factory=list)


class EngineModel:
    """An engine with continuous batching."""

    def __init__(self, shape: EngineShape, seed: int = 0) -> None:
        """Create an idle engine; it is cold if the shape has cold tokens."""
        self.shape = shape
        self.running: list[ModelStream] = []
        self.waiting: list[ModelStream] = []
        self.preemptions = 0
        self.cache_events: list[str] = []
        self._random = random.Random(seed)
        self._prefix_cache: OrderedDict[str, None] = OrderedDict()
        self._tokens_since_cold = 0

    @property
    def memory(self) -> int:
        """Tokens of KV cache in use."""
        return sum(stream.held for stream in self.running)

    @property
    def cold(self) -> bool:
        """Whether the engine is still cold."""
        return self._tokens_since_cold < self.shape.cold_tokens

    def warm_up(self) -> None:
        """Make the engine warm at once."""
        self._tokens_since_cold = self.shape.cold_tokens

    def turn_cold(self) -> None:
        """Make the engine cold and empty the prefix cache."""
        self._tokens_since_cold = 0
        self._prefix_cache.clear()

    def submit(self, stream: ModelStream) -> None:
        """Add a generation to the queue."""
        self.waiting.append(stream)

    def cancel(self, name: str) -> bool:
        """Remove a running or queued stream; return whether there was one."""
        for streams in (self.running, self.waiting):
            for stream in streams:
                if stream.name == name:
                    streams.remove(stream)
                    return True
        return False

    def step(self) -> StepResult:
        """Run one step: admit, decode, and preempt when memory is full."""
        prefill_tokens = self._admit()
        result = StepResult(seconds=self._step_seconds(prefill_tokens))
        for stream in list(self.running):
            stream.produced += 1
            result.emitted.append(stream)
            if stream.produced >= stream.length:
                self.running.remove(stream)
                result.finished.append(stream)
        self._tokens_since_cold += len(result.emitted)
        while self.memory > self.shape.capacity and len(self.running) > 1:
            result.preempted.append(self._preempt())
        return result

    def _admit(self) -> int:
        prefill_tokens = 0
        self.waiting.sort(key=lambda stream: -stream.priority)
        while self.waiting and len(self.running) < self.shape.max_batch_size:
            stream = self.waiting[0]
            free_tokens = self.shape.capacity - self.memory
            if self.running and stream.held + 1 > free_tokens:
                break
            self.waiting.pop(0)
            self.running.append(stream)
            prefill_tokens += self._prefill(stream)
        return prefill_tokens

    def _prefill(self, stream: ModelStream) -> int:
        """Update the prefix cache; return the tokens to be processed."""
        prefix = stream.prompt[:_PREFIX_CHARACTERS]
        stream.cached = prefix in self._prefix_cache
        self._prefix_cache[prefix] = None
        self._prefix_cache.move_to_end(prefix)
        self.cache_events.append(prefix)
        if len(self._prefix_cache) > self.shape.max_cached_prefixes:
            self._prefix_cache.popitem(last=False)
        # A preempted stream has to recompute the tokens it had produced.
        recomputed = stream.produced
        return (
            recomputed if stream.cached else recomputed + stream.prompt_tokens
        )

    def _step_seconds(self, prefill_tokens: int) -> float:
        shape = self.shape
        batch_size = len(self.running)
        seconds = shape.step + shape.step_seconds_per_stream * batch_size
        seconds += prefill_tokens / shape.prefill_rate
        if self.cold:
            seconds *= shape.cold_factor
            seconds *= max(1.0, batch_size / shape.cold_batch_size)
        return seconds

    def _preempt(self) -> ModelStream:
        # Real engines also preempt the newest stream of the lowest priority.
        lowest = min(stream.priority for stream in self.running)
        victim = [each for each in self.running if each.priority == lowest][-1]
        self.running.remove(victim)
        victim.preempted += 1
        self.preemptions += 1
        self.waiting.insert(0, victim)
        return victim
