"""A model of engines that prefill prompts in chunks beside streams.

Each step of an engine yields a token for every stream and prefills a chunk of the
prompt at the head of its queue.
"""

import heapq
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rosepath.assignment import AssignmentRequest
from rosepath.caller_request import Prompt, PromptPart
from rosepath.fleet import InFlightRequest

REPLICAS, ENTRY_VMS = 3, 66
MODELS = ("m0", "m1", "m2", "m3")
MODEL_WEIGHTS = (4, 3, 2, 2)
MESSAGE_S = 0.002
EVENT_TOKENS = 5
STEP_S, STREAM_STEP_S, TOKEN_PREFILL_S = 0.008, 0.000_1, 26e-6
SLOWDOWN, SLOWED_S, USUAL_S = 2.5, 0.6, 3.4
ENGINE_PACE = {f"e{n}": 1.0 if n % 4 else 0.46 for n in range(12)}
CACHED_PARTS, SHARED_PARTS = 60, 24
SECONDS = 12.0

Act = Callable[[float], None]


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe requests of one kind."""

    rate_per_s: float
    due_s: float
    gap_s: float
    input_tokens: int
    output_tokens: int
    shared_tokens: int = 0


KINDS = {
    "chat": Kind(80, 0.41, 0.3, 600, 290),
    "document": Kind(14, 0.8, 0.4, 9_200, 50, 6_300),
    "not urgent": Kind(5, 4.0, 0.4, 9_200, 50),
}


@dataclass(slots=True, kw_only=True)
class Run:
    """Hold a request, its run and what its caller sees of it."""

    kind: str
    vm: int
    request: AssignmentRequest
    prompt: Prompt
    left: int
    unread: int = -1
    server: str = ""
    sent_s: float = 0.0
    in_flight: InFlightRequest = field(default_factory=InFlightRequest)
    first_s: float | None = None
    event_s: float = 0.0
    longest_gap_s: float = 0.0


class Engine:
    """Own the model of an engine."""

    def __init__(self, name: str, *, pace: float, chunk: int, slowed: bool) -> None:
        self.pace, self.chunk, self.slowed = pace, chunk, slowed
        self.queue: deque[Run] = deque()
        self.streams: list[Run] = []
        self.cached: OrderedDict[str, None] = OrderedDict()
        self.busy = False
        self.rng = random.Random(name)
        self.slow_until_s = self.usual_until_s = 0.0

    def slowdown(self, now_s: float) -> float:
        while self.slowed and now_s >= self.usual_until_s:
            self.slow_until_s = self.usual_until_s + SLOWED_S
            self.usual_until_s = self.slow_until_s + self.rng.expovariate(1 / USUAL_S)
        return SLOWDOWN if now_s < self.slow_until_s else 1.0

    def start_step(self, now_s: float) -> float:
        """Prefill a chunk; return how long the step takes."""
        tokens = 0
        if self.queue:
            run, first = self.queue[0], self.queue[0].prompt.parts[0]
            if run.unread < 0:
                cached = first.tokens if first.part_id in self.cached else 0
                run.unread = run.prompt.input_tokens - cached
            tokens = min(self.chunk, run.unread)
            run.unread -= tokens
        step_s = max(STEP_S, tokens * TOKEN_PREFILL_S)
        step_s += STREAM_STEP_S * len(self.streams)
        return step_s * self.slowdown(now_s) / self.pace

    def end_step(self, now_s: float) -> tuple[list[Run], list[Run]]:
        """Return the runs that have begun and those that have ended."""
        for run in self.streams:
            run.left -= 1
            if run.left % EVENT_TOKENS == 0:
                run.longest_gap_s = max(run.longest_gap_s, now_s - run.event_s)
                run.event_s = now_s
        ended = [run for run in self.streams if run.left <= 0]
        self.streams = [run for run in self.streams if run.left > 0]
        if not self.queue or self.queue[0].unread:
            return [], ended
        run = self.queue.popleft()
        run.first_s = run.event_s = now_s
        self.streams.append(run)
        self.cached[run.prompt.parts[0].part_id] = None
        self.cached.move_to_end(run.prompt.parts[0].part_id)
        if len(self.cached) > CACHED_PARTS:
            self.cached.popitem(last=False)
        return [run], ended


class Play:
    """Own one play: its events and engines; the choice is up to subclasses."""

    def __init__(self, *, seed: int, chunk: int, slowed: bool) -> None:
        self.rng = random.Random(seed)
        self.events: list[tuple[float, int, Act]] = []
        self.count = 0
        self.engines = {
            name: Engine(name, pace=pace, chunk=chunk, slowed=slowed)
            for name, pace in ENGINE_PACE.items()
        }
        self.runs: list[Run] = []
        for kind, spec in KINDS.items():
            now_s = self.rng.expovariate(spec.rate_per_s)
            while now_s < SECONDS:
                run = self.arrival(kind, spec, now_s)
                self.runs.append(run)
                self.at(now_s, lambda now_s, run=run: self.arrived(run, now_s))
                now_s += self.rng.expovariate(spec.rate_per_s)
        self.start()

    def start(self) -> None:
        """Prepare what chooses the engines."""
        raise NotImplementedError

    def arrived(self, run: Run, now_s: float) -> None:
        """Choose an engine for a request, now or later."""
        raise NotImplementedError

    def begun(self, run: Run, now_s: float) -> None:
        """Note a stream's first event."""

    def ended(self, run: Run, now_s: float) -> None:
        """Note a stream's end."""

    def at(self, time_s: float, act: Act) -> None:
        self.count += 1
        heapq.heappush(self.events, (time_s, self.count, act))

    def arrival(self, kind: str, spec: Kind, now_s: float) -> Run:
        request_id = f"q{len(self.runs)}"
        model = self.rng.choices(MODELS, MODEL_WEIGHTS)[0]
        shared = f"{model}-{self.rng.randrange(SHARED_PARTS)}"
        own = PromptPart(request_id, spec.input_tokens - spec.shared_tokens)
        parts = (PromptPart(shared, spec.shared_tokens), own)
        prompt = Prompt(
            model=model,
            input_tokens=spec.input_tokens,
            output_tokens=spec.output_tokens,
            parts=parts if spec.shared_tokens else (own,),
        )
        request = AssignmentRequest(
            request_id=request_id,
            service="llm",
            entry_vm="",
            data_centre="a",
            arrived_s=now_s,
            due_s=now_s + spec.due_s,
            wait_until_s=now_s + 4 * spec.due_s,
            deadline_s=now_s + 60.0,
            gap_s=spec.gap_s,
            prompt=prompt,
        )
        vm, left = self.rng.randrange(ENTRY_VMS), spec.output_tokens
        return Run(kind=kind, vm=vm, request=request, prompt=prompt, left=left)

    def send(self, run: Run, server: str, now_s: float) -> None:
        run.server, run.sent_s = server, now_s
        engine = self.engines[server]

        def arrive(now_s: float) -> None:
            engine.queue.append(run)
            if not engine.busy:
                self.step(engine, now_s)

        self.at(now_s + MESSAGE_S, arrive)

    def step(self, engine: Engine, now_s: float) -> None:
        engine.busy = bool(engine.queue or engine.streams)
        if not engine.busy:
            return

        def end(now_s: float) -> None:
            begun, ended = engine.end_step(now_s)
            for runs, act in ((begun, self.begun), (ended, self.ended)):
                for run in runs:
                    self.at(now_s + MESSAGE_S, lambda t, run=run, act=act: act(run, t))
            self.step(engine, now_s)

        self.at(now_s + engine.start_step(now_s), end)

    def play(self) -> Counter[tuple[str, str]]:
        """Play to the end; count the requests of each kind by how they were late."""
        while self.events:
            time_s, _, act = heapq.heappop(self.events)
            act(time_s)
        counts: Counter[tuple[str, str]] = Counter()
        for run in self.runs:
            counts[run.kind, "all"] += 1
            if run.first_s is None:
                counts[run.kind, "not begun"] += 1
            elif run.first_s + MESSAGE_S > run.request.due_s:
                counts[run.kind, "first event"] += 1
            elif run.longest_gap_s > run.request.gap_s:
                counts[run.kind, "pause"] += 1
        return counts
