"""A model engine as a step function in virtual time.

Each step gives one token to every generation in the batch. Memory is counted in
tokens; when it runs short the engine preempts the lowest priority, newest first,
and recomputes the preempted prompt and tokens later.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(frozen=True)
class EngineSettings:
    """Sizes in tokens, times in seconds.

    `prefill_chunk` is how much of the waiting prompts one step reads at the most;
    without one, a prompt is read as a whole in the step that admits it.
    """

    capacity_tokens: int = 16_384
    most_batched: int = 256
    step_base: float = 0.012
    step_per_sequence: float = 0.0006
    step_per_context_token: float = 0.0000004
    prefill_per_token: float = 0.00005
    prefill_chunk: int | None = None
    prefixes_kept: int = 64
    prefix_characters: int = 256


@dataclass
class EngineGeneration:
    """A generation inside the engine; `length` is what it will come to."""

    identity: str
    prompt_tokens: int
    length: int
    priority: int
    prefix: str
    order: int
    generated: int = 0
    unread: int = 0

    @property
    def held(self) -> int:
        """Memory that it holds while it is in the batch."""
        return self.prompt_tokens + self.generated


@dataclass(frozen=True)
class EngineStep:
    """What one step did; `duration` is in seconds."""

    duration: float
    batch: int
    progressed: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()
    preempted: tuple[str, ...] = ()


@dataclass
class EngineModel:
    """State of the engine between steps.

    `cache_changes` names each prefix that came into the cache (True) or left it.
    """

    settings: EngineSettings = field(default_factory=EngineSettings)
    waiting: list[EngineGeneration] = field(default_factory=list)
    running: list[EngineGeneration] = field(default_factory=list)
    preemptions: int = 0
    _prefixes: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _order: int = 0
    cache_changes: list[tuple[str, bool]] = field(default_factory=list)

    @property
    def used_tokens(self) -> int:
        """Memory held by the batch."""
        return sum(generation.held for generation in self.running)

    @property
    def is_busy(self) -> bool:
        """Whether a step would do anything."""
        return bool(self.running or self.waiting)

    def submit(
        self, identity: str, prompt: str, prompt_tokens: int, length: int, priority: int
    ) -> None:
        """Queue a generation."""
        self._order += 1
        prefix = prompt[: self.settings.prefix_characters]
        self.waiting.append(
            EngineGeneration(
                identity, prompt_tokens, length, priority, prefix, self._order
            )
        )

    def cancel(self, identity: str) -> None:
        """Drop a generation and free its memory."""
        self.running = [g for g in self.running if g.identity != identity]
        self.waiting = [g for g in self.waiting if g.identity != identity]

    def step(self) -> EngineStep:
        """Make one step."""
        self._admit()
        prefill = self._read_prompts()
        preempted = self._make_room()
        settings = self.settings
        duration = settings.step_base + prefill * settings.prefill_per_token
        duration += len(self.running) * settings.step_per_sequence
        duration += self.used_tokens * settings.step_per_context_token
        batch = len(self.running)
        decoding = [g for g in self.running if not g.unread]
        for generation in decoding:
            generation.generated += 1
        progressed = tuple(g.identity for g in decoding)
        finished = [g for g in self.running if g.generated >= g.length]
        self.running = [g for g in self.running if g.generated < g.length]
        return EngineStep(
            duration,
            batch,
            progressed,
            tuple(g.identity for g in finished),
            tuple(g.identity for g in preempted),
        )

    def _admit(self) -> None:
        self.waiting.sort(key=lambda g: (-g.priority, g.order))
        used = self.used_tokens
        while self.waiting and len(self.running) < self.settings.most_batched:
            generation = self.waiting[0]
            needed = generation.held + 1
            fits = used + needed + len(self.running) <= self.settings.capacity_tokens
            if not fits and self.running:
                break
            self.waiting.pop(0)
            self.running.append(generation)
            used += needed
            generation.unread = self._prefill_tokens(generation)

    def _read_prompts(self) -> int:
        """Read prompts in the order of admission; return how many tokens."""
        left = self.settings.prefill_chunk or sum(g.unread for g in self.running)
        total = 0
        for generation in self.running:
            read = min(left, generation.unread)
            generation.unread -= read
            left -= read
            total += read
        return total

    def _prefill_tokens(self, generation: EngineGeneration) -> int:
        cached = self._prefixes.get(generation.prefix, 0)
        self._prefixes[generation.prefix] = generation.prompt_tokens
        self._prefixes.move_to_end(generation.prefix)
        if not cached:
            self.cache_changes.append((generation.prefix, True))
        while len(self._prefixes) > self.settings.prefixes_kept:
            evicted, _ = self._prefixes.popitem(last=False)
            self.cache_changes.append((evicted, False))
        shared = min(cached, generation.prompt_tokens)
        return generation.held - shared

    def _make_room(self) -> list[EngineGeneration]:
        preempted: list[EngineGeneration] = []
        while len(self.running) > 1:
            if self.used_tokens + len(self.running) <= self.settings.capacity_tokens:
                break
            victim = min(self.running, key=lambda g: (g.priority, -g.order))
            self.running.remove(victim)
            self.waiting.append(victim)
            preempted.append(victim)
        self.preemptions += len(preempted)
        return preempted
