"""What requests cost is learned from runs that ended, and forgotten in time."""

import random

import pytest
from work_builders import an_assignment_request

from rosepath.request_cost import MAX_KEYS, CostTable, RequestCosts, Scale

SCALE = Scale(lowest=1.0, expected=512.0, highest=16_384.0)


def learn(costs: RequestCosts, outputs: list[int], **fields: object) -> None:
    request = an_assignment_request(**fields)  # type: ignore[arg-type]
    for events in outputs:
        costs.record(request, events=events, ran_s=0.1 + 0.03 * events)


def test_alike_prompts_with_outputs_from_1_to_30_have_a_high_quantile() -> None:
    """Load: alike prompts with outputs 1 to 30. A mean alone hides the long ones."""
    rng = random.Random(1)
    costs = RequestCosts()
    learn(costs, [rng.randint(1, 30) for _ in range(200)])

    events = costs.predict(an_assignment_request()).events

    assert 12 <= events.mean <= 19
    assert 12 <= events.median <= 19
    assert 24 <= events.high <= 34


def test_a_run_that_goes_on_is_predicted_by_longer_runs_only() -> None:
    """Load: one answer of 1,000 events among answers of 10. It isn't nearly done."""
    costs = RequestCosts()
    learn(costs, [10, 10, 10, 10, 1000] * 20, output_tokens=4096)

    events = costs.predict(an_assignment_request(output_tokens=4096)).events

    assert events.median == pytest.approx(10, rel=0.1)
    assert events.left(0) < 300
    assert events.left(100) > 600


def test_a_run_longer_than_all_others_is_not_taken_for_done() -> None:
    """Load: outputs grow beyond all that was learned."""
    costs = RequestCosts()
    learn(costs, [10] * 200, output_tokens=0)
    request = an_assignment_request(output_tokens=0)
    assert costs.predict(request).events.left(20_000) > 0


def test_a_shift_of_demand_is_followed_within_the_memory() -> None:
    """Load: a shift of demand, answers of 10 events give way to answers of 300."""
    costs = RequestCosts()
    learn(costs, [10] * 1000, output_tokens=1024)
    learn(costs, [300] * 60, output_tokens=1024)
    events = costs.predict(an_assignment_request(output_tokens=1024)).events
    assert events.median == pytest.approx(300, rel=0.15)


def test_a_new_model_starts_with_what_its_route_costs() -> None:
    """Load: a model's first requests. The prior of its route gives way to its runs."""
    costs = RequestCosts()
    learn(costs, [100] * 100, model="m0")
    fresh = an_assignment_request(model="m1")
    assert costs.predict(fresh).events.median == pytest.approx(100, rel=0.1)

    learn(costs, [20] * 15, model="m1")

    assert costs.predict(fresh).events.median == pytest.approx(20, rel=0.1)
    known = costs.predict(an_assignment_request(model="m0"))
    assert known.events.median == pytest.approx(100, rel=0.1)


def test_routes_to_one_service_are_learned_apart() -> None:
    """Load: receipts of 20 ms and searches of 2 s at one plain service."""
    costs = RequestCosts()
    receipt = an_assignment_request(model="", route="receipts")
    search = an_assignment_request(model="", route="searches")
    for _ in range(50):
        costs.record(receipt, ran_s=0.02)
        costs.record(search, ran_s=2.0)
    assert costs.predict(receipt).run_time_s.median == pytest.approx(0.02, rel=0.1)
    assert costs.predict(search).run_time_s.median == pytest.approx(2.0, rel=0.1)
    assert costs.predict(receipt).run_time_s.mean < 0.2


def test_a_request_is_predicted_no_more_output_than_it_allows() -> None:
    """Load: one request that allows few tokens among long ones of its route."""
    costs = RequestCosts()
    learn(costs, [400] * 100, output_tokens=500)
    events = costs.predict(an_assignment_request(output_tokens=30)).events
    assert events.high <= 30
    assert events.left(29) <= 1
    assert events.left(31) == 0


def test_lost_reports_leave_the_prediction_as_it_is() -> None:
    """Failure: reports lost. Runs without a count or a time teach nothing wrong."""
    costs = RequestCosts()
    learn(costs, [20] * 50)
    before = costs.predict(an_assignment_request())
    for _ in range(50):
        costs.record(an_assignment_request(), events=None, ran_s=None)
    after = costs.predict(an_assignment_request())
    assert after.events.mean == before.events.mean
    assert after.run_time_s.mean == before.run_time_s.mean


def test_keys_are_bounded_and_the_widest_outlive_the_others() -> None:
    """Load: more models than are remembered."""
    table = CostTable(SCALE)
    for number in range(3 * MAX_KEYS):
        table.record([("llm",), ("llm", str(number))], 20.0)
    assert len(table) == MAX_KEYS
    assert table.predict([("llm",)]).median == pytest.approx(20, rel=0.1)


def test_quantiles_survive_a_long_life() -> None:
    """Load: millions of runs of one key. Weights keep their precision."""
    table = CostTable(SCALE)
    for number in range(20_000):
        table.record([("llm",)], 10.0 if number % 2 else 40.0)
    found = table.predict([("llm",)])
    assert found.quantile(0.3) == pytest.approx(10, rel=0.1)
    assert found.quantile(0.8) == pytest.approx(40, rel=0.1)
