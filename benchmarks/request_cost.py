"""Compare predictions of request costs and of servers' paces, without a network."""

import heapq
import random
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from itertools import count
from statistics import fmean, median, quantiles

from benchmarks._private import write_table
from rosepath.assignment import Assignment, AssignmentRequest, RunOutcome, RunReport
from rosepath.caller_request import Prompt
from rosepath.request_cost import RequestCosts
from rosepath.server_pace import PRIOR_PREFILL_TOKENS_PER_S, CommonPaces, ServerPace
from rosepath.server_work import WorkTable

RUNS = 4000
# Runs that end between a prediction and its own end.
DELAYED_RUNS = 20
SEEDS = range(5)


def _request(*, route: str, model: str, output_tokens: int) -> AssignmentRequest:
    prompt = Prompt(model=model, input_tokens=2000, output_tokens=output_tokens)
    return AssignmentRequest(
        request_id="q",
        service="llm",
        entry_vm="vm",
        data_centre="a",
        arrived_s=0.0,
        due_s=1.0,
        wait_until_s=1.0,
        deadline_s=10.0,
        route=route,
        prompt=prompt,
    )


Load = Iterator[tuple[AssignmentRequest, int]]


def _alike(rng: random.Random) -> Load:
    """Yield alike prompts with outputs 1 to 30."""
    for _ in range(RUNS):
        yield _request(route="chat", model="m0", output_tokens=64), rng.randint(1, 30)


def _mixed(rng: random.Random) -> Load:
    """Yield chats and drafts of several models, with hints of their length."""
    for _ in range(RUNS):
        draft, number = rng.random() < 0.3, rng.randrange(8)
        limit = rng.choice((256, 512, 1024) if draft else (64, 128))
        events = limit * rng.uniform(0.3, 0.9) * (0.5 + number / 8)
        request = _request(
            route="draft" if draft else "chat", model=f"m{number}", output_tokens=limit
        )
        yield request, max(1, min(limit, round(events)))


def _shift(rng: random.Random) -> Load:
    """Yield short outputs that become ten times as long halfway."""
    for number in range(RUNS):
        mean = 20 if number < RUNS / 2 else 200
        events = round(mean * rng.lognormvariate(0.0, 0.5))
        request = _request(route="chat", model="m0", output_tokens=1024)
        yield request, max(1, min(1024, events))


LOADS = {
    "alike, 1 to 30": _alike,
    "chats and drafts": _mixed,
    "shift from 20 to 200": _shift,
}


@dataclass(slots=True, kw_only=True)
class _Mean:
    """Own a running mean by key, over all runs or with a learning rate."""

    key: Callable[[AssignmentRequest], object]
    rate: float = 0.0
    values: dict[object, float] = field(default_factory=dict)
    counts: dict[object, int] = field(default_factory=dict)

    def predict(self, request: AssignmentRequest) -> tuple[float, float]:
        mean = self.values.get(self.key(request), 50.0)
        return mean, mean

    def record(self, request: AssignmentRequest, events: int) -> None:
        key = self.key(request)
        number = self.counts[key] = self.counts.get(key, 0) + 1
        known = self.values.get(key, float(events))
        self.values[key] = known + max(self.rate, 1 / number) * (events - known)


class _Limit:
    """Take the allowed output for the output."""

    def predict(self, request: AssignmentRequest) -> tuple[float, float]:
        limit = float(request.prompt.output_tokens) if request.prompt else 0.0
        return limit, limit

    def record(self, request: AssignmentRequest, events: int) -> None:
        pass


class _Regression:
    """Own an online regression of the logarithm of the output on its limit."""

    def __init__(self) -> None:
        self.weights = {"": 3.0}

    def _features(self, request: AssignmentRequest) -> Sequence[tuple[str, float]]:
        prompt = request.prompt
        assert prompt is not None
        length = prompt.output_tokens.bit_length() - 7
        names = ("", request.route, prompt.model)
        return [*((name, 1.0) for name in names), ("length", float(length))]

    def _log(self, request: AssignmentRequest) -> float:
        features = self._features(request)
        return sum(self.weights.get(name, 0.0) * value for name, value in features)

    def predict(self, request: AssignmentRequest) -> tuple[float, float]:
        events = 2.0 ** min(20.0, self._log(request))
        return events, events

    def record(self, request: AssignmentRequest, events: int) -> None:
        error = events.bit_length() - 0.5 - self._log(request)
        for name, value in self._features(request):
            step = 0.02 * error * value
            self.weights[name] = self.weights.get(name, 0.0) + step


class _Histograms:
    """Predict by the product's decayed histograms."""

    def __init__(self) -> None:
        self.costs = RequestCosts()

    def predict(self, request: AssignmentRequest) -> tuple[float, float]:
        events = self.costs.predict(request).events
        return events.mean, events.high

    def record(self, request: AssignmentRequest, events: int) -> None:
        self.costs.record(request, events=events)


def _predictors() -> dict[str, "_Mean | _Limit | _Regression | _Histograms"]:
    return {
        "allowed output": _Limit(),
        "mean by route": _Mean(key=lambda request: request.route),
        "decayed mean by route": _Mean(key=lambda request: request.route, rate=0.02),
        "decayed mean by route, model": _Mean(
            key=lambda request: (
                request.route,
                request.prompt.model if request.prompt else "",
            ),
            rate=0.02,
        ),
        "online regression": _Regression(),
        "decayed histograms": _Histograms(),
    }


def _output_rows() -> Iterator[list[object]]:
    for load, play in LOADS.items():
        for name in _predictors():
            errors: list[float] = []
            covered: list[bool] = []
            for seed in SEEDS:
                predictor = _predictors()[name]
                pending: list[tuple[AssignmentRequest, int]] = []
                for request, events in play(random.Random(seed)):
                    mean, high = predictor.predict(request)
                    errors.append(abs(mean - events) / events)
                    covered.append(events <= high)
                    pending.append((request, events))
                    if len(pending) > DELAYED_RUNS:
                        predictor.record(*pending.pop(0))
            yield [load, name, round(median(errors), 2), round(fmean(covered), 2)]


@dataclass(slots=True, kw_only=True)
class _MeanRate:
    """Own a decayed mean of the time of a token, for one server."""

    token_s: float = 1.0 / PRIOR_PREFILL_TOKENS_PER_S

    def predict_s(self, tokens: int, model: str) -> float:
        return tokens * self.token_s

    def record(self, tokens: int, took_s: float, model: str) -> None:
        self.token_s += 0.1 * (took_s / tokens - self.token_s)


@dataclass(slots=True, kw_only=True)
class _ConstantRate:
    """Assume one rate for all servers."""

    def predict_s(self, tokens: int, model: str) -> float:
        return tokens / PRIOR_PREFILL_TOKENS_PER_S

    def record(self, tokens: int, took_s: float, model: str) -> None:
        pass


class _Factors:
    """Predict by the product's factors."""

    def __init__(self, common: CommonPaces) -> None:
        self.pace = ServerPace(common=common)

    def predict_s(self, tokens: int, model: str) -> float:
        return self.pace.prefill_s(tokens, now_s=0.0, model=model)

    def record(self, tokens: int, took_s: float, model: str) -> None:
        self.pace.note_prefill(tokens, took_s, model=model)


def _paces(name: str, count: int) -> Sequence["_ConstantRate | _MeanRate | _Factors"]:
    if name == "constant":
        return [_ConstantRate() for _ in range(count)]
    if name == "decayed mean by server":
        return [_MeanRate() for _ in range(count)]
    common = CommonPaces()
    return [_Factors(common) for _ in range(count)]


def _pace_rows(*, outliers: float, restart: bool) -> Iterator[list[object]]:
    """Play 12 servers, each fourth of them slow, with two of six models each."""
    servers = 12
    for name in ("constant", "decayed mean by server", "factors"):
        early: list[float] = []
        late: list[float] = []
        for seed in SEEDS:
            rng = random.Random(seed)
            learners = list(_paces(name, servers))
            runs = [0] * servers
            for number in range(1200):
                if restart and number % 200 == 199:
                    # A new instance on the same machine; what was learned is gone.
                    place = rng.randrange(servers)
                    known = learners[place]
                    learners[place] = (
                        _Factors(_common_of(known))
                        if isinstance(known, _Factors)
                        else type(known)()
                    )
                    runs[place] = 0
                place = rng.randrange(servers)
                model = (place + rng.randrange(2)) % 6
                tokens = rng.choice((500, 1000, 3000, 9000))
                pace = 0.46 if place % 4 == 0 else 1.0
                real_s = tokens / 30_000 / pace * (1 + 0.3 * model)
                real_s *= rng.lognormvariate(0.0, 0.1)
                error = abs(learners[place].predict_s(tokens, f"m{model}") / real_s - 1)
                (early if runs[place] < 10 else late).append(error)
                seen_s = real_s * (20 if rng.random() < outliers else 1)
                learners[place].record(tokens, seen_s, f"m{model}")
                runs[place] += 1
        kind = f"{outliers:.0%} outliers" + (", restarts" if restart else "")
        yield [kind, name, round(median(early), 2), round(median(late), 2)]


def _common_of(known: _Factors) -> CommonPaces:
    return known.pace.common


@dataclass(slots=True, kw_only=True)
class _Engine:
    """Own an engine that prefills prompts one after the other."""

    name: str
    pace: float
    free_s: float = 0.0

    def first_event_s(self, tokens: int, *, now_s: float, rng: random.Random) -> float:
        """Return when a prompt that is assigned now has its first event."""
        arrives_s = now_s + rng.uniform(0.002, 0.006)
        took_s = tokens / 25_000 / self.pace * rng.lognormvariate(0.0, 0.1)
        self.free_s = max(self.free_s, arrives_s) + took_s
        return self.free_s


def _queue_errors(seed: int, *, lost: float) -> Iterator[tuple[float, float]]:
    """Yield by how much two predictions of the first event miss it.

    Documents of 8,000 tokens come among chats, at four engines of which one is
    slow; reports take 20 ms. The first prediction is by unread tokens and one
    rate, the second by the work table.
    """
    rng = random.Random(seed)
    table = WorkTable()
    engines = [_Engine(name=f"e{n}", pace=0.46 if n == 0 else 1.0) for n in range(4)]
    reports: list[tuple[float, int, RunReport]] = []
    order = count()
    now_s = 0.0
    for number in range(1500):
        now_s += rng.expovariate(20.0)
        while reports and reports[0][0] <= now_s:
            at_s, _, report = heapq.heappop(reports)
            table.apply(report, now_s=at_s)
        table.heard_from("vm", now_s=now_s)
        table.drop_expired(now_s=now_s)
        # The slow one gets less, as a scheduler would have it.
        engine = rng.choices(engines, weights=(0.46, 1, 1, 1))[0]
        work = table.of_server(engine.name)
        tokens = 8000 if rng.random() < 0.15 else rng.randrange(300, 2000)
        request = replace(
            _request(route="chat", model="m0", output_tokens=64),
            request_id=f"q{number}",
            arrived_s=now_s,
            deadline_s=now_s + 10.0,
        )
        simple_s = (work.unread_tokens + tokens) / PRIOR_PREFILL_TOKENS_PER_S
        own_s = work.pace.prefill_s(tokens, now_s=now_s, model="m0")
        predicted_s = work.prefill_left_s(now_s) + own_s
        assignment = Assignment(
            request=request,
            server=engine.name,
            unread_tokens=tokens,
            first_event_s=predicted_s,
        )
        table.assign(assignment, now_s=now_s)
        begun_s = engine.first_event_s(tokens, now_s=now_s, rng=rng)
        yield abs(simple_s - (begun_s - now_s)), abs(predicted_s - (begun_s - now_s))
        begin = RunReport(
            request_id=f"q{number}",
            server=engine.name,
            began_after_s=begun_s - now_s - 0.004,
            events=1,
        )
        end = RunReport(
            request_id=f"q{number}",
            server=engine.name,
            outcome=RunOutcome.COMPLETED,
            events=20,
            event_gap_s=0.03,
        )
        for at_s, report in ((begun_s, begin), (begun_s + 0.6, end)):
            if rng.random() >= lost:
                heapq.heappush(reports, (at_s + 0.02, next(order), report))


def _queue_rows() -> Iterator[list[object]]:
    for lost in (0.0, 0.05, 0.2):
        errors = [
            pair
            for seed in SEEDS
            for pair in list(_queue_errors(seed, lost=lost))[200:]
        ]
        for name, values in zip(
            ("unread tokens, one rate", "work table"),
            zip(*errors, strict=True),
            strict=True,
        ):
            cuts = quantiles(values, n=20)
            yield [
                f"{lost:.0%} of reports lost",
                name,
                round(1000 * median(values)),
                round(1000 * cuts[-2]),
            ]


def _time_rows() -> Iterator[list[object]]:
    rng = random.Random(1)
    costs = RequestCosts()
    load = list(_mixed(rng))
    started_s = time.perf_counter()
    for request, events in load:
        costs.record(request, events=events, ran_s=0.03 * events)
    yield ["learn a cost", round((time.perf_counter() - started_s) / RUNS * 1e6)]
    started_s = time.perf_counter()
    for request, _ in load:
        costs.predict(request).events.left(10)
    yield ["predict a cost", round((time.perf_counter() - started_s) / RUNS * 1e6)]
    common = CommonPaces()
    paces = [ServerPace(common=common) for _ in range(12)]
    started_s = time.perf_counter()
    for number in range(RUNS):
        paces[number % 12].note_prefill(3000, rng.uniform(0.1, 0.2), model="m0")
    yield ["learn a pace", round((time.perf_counter() - started_s) / RUNS * 1e6)]
    started_s = time.perf_counter()
    for number in range(RUNS):
        paces[number % 12].prefill_s(3000, now_s=0.0, model="m0")
    yield ["predict a prefill", round((time.perf_counter() - started_s) / RUNS * 1e6)]
    table = WorkTable()
    started_s = time.perf_counter()
    for number, (request, events) in enumerate(load):
        run = replace(request, request_id=f"q{number}", deadline_s=1e9)
        assignment = Assignment(request=run, server="e", unread_tokens=1000)
        table.assign(assignment, now_s=0.1 * number)
        begun = RunReport(request_id=f"q{number}", server="e", began_after_s=0.05)
        table.apply(begun, now_s=0.1 * number + 0.06)
        if number >= 20:
            # So many run at the same time.
            ended = RunReport(
                request_id=f"q{number - 20}",
                server="e",
                outcome=RunOutcome.COMPLETED,
                events=events,
                event_gap_s=0.03,
            )
            table.apply(ended, now_s=0.1 * number + 0.07)
    each_s = (time.perf_counter() - started_s) / RUNS
    yield ["a run at a server with 20 others", round(each_s * 1e6)]
    started_s = time.perf_counter()
    for _ in range(RUNS):
        table.servers["e"].next_free_s(0.1 * RUNS, slots=20)
    each_s = (time.perf_counter() - started_s) / RUNS
    yield ["predict its next free place", round(each_s * 1e6)]


def main() -> None:
    """Print the errors of each way to predict, and what it takes."""
    write_table(
        "Predicted output events",
        ["load", "predicted by", "median error", "within the high estimate"],
        list(_output_rows()),
    )
    rows = [
        *_pace_rows(outliers=0.0, restart=False),
        *_pace_rows(outliers=0.05, restart=False),
        *_pace_rows(outliers=0.05, restart=True),
    ]
    write_table(
        "Predicted prefill time, median error",
        ["load", "predicted by", "first ten runs of a server", "later"],
        rows,
    )
    write_table(
        "Predicted time to the first event, error in ms",
        ["load", "predicted by", "median", "90th percentile"],
        list(_queue_rows()),
    )
    write_table("Processor time, µs", ["", "each"], list(_time_rows()))
