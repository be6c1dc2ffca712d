"""Numbers in headers that callers and backend servers send."""

import pytest
from hypothesis import given, strategies as st
from tornado.httputil import HTTPHeaders

from rosepath.caller_request import BadRequestError, CallerRequest
from rosepath.header_values import MAX_COUNT, parse_int
from rosepath.platform.calls import decode_caller_request, read_response_metadata

ODD_NUMBERS = [
    "7" * 5_000,
    "0" * 5_000 + "x",
    "7" * 400,
    "²",
    "٣",
    "-1",
    "1.5",
    "1e999",
    "nan",
    "",
    "1_0",
]

# Of the above that are times in milliseconds: what they state, in seconds. Those
# beyond all numbers state no limit.
LIMITS_S = {"-1": 0.0, "1.5": 0.0015}


def decode(**headers: str) -> CallerRequest:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return decode_caller_request(
        method="POST",
        path="/draft/1",
        headers=HTTPHeaders({"Request-Id": "q", "Host": "h", **named}),
        body=b"",
        arrived_s=0.0,
    )


# Guards against a request that ends in an internal error, or a plan that fails on the
# size of one prompt, because of a number in a header.
@pytest.mark.parametrize("odd", ODD_NUMBERS)
def test_an_odd_number_in_a_request_is_ignored_or_rejected(odd: str) -> None:
    assert decode(Last_Event_Id=odd).last_event_id is None
    try:
        wait_s = decode(Request_Deadline_Ms=odd).wait_s
    except BadRequestError:
        pass
    else:
        assert wait_s == LIMITS_S.get(odd)
    for headers in (
        {"Token_Usage": f"{odd},5"},
        {"Token_Usage": f"5,{odd}"},
        {"Prompt_Prefix": f"aa:{odd}"},
    ):
        try:
            prompt = decode(Model="m", **headers).prompt
        except BadRequestError:
            continue
        assert prompt is not None
        assert 0 <= prompt.input_tokens <= MAX_COUNT
        assert 0 <= prompt.output_tokens <= MAX_COUNT
        assert all(0 <= part.tokens <= MAX_COUNT for part in prompt.parts)


@pytest.mark.parametrize("odd", ODD_NUMBERS)
@pytest.mark.parametrize("name", ["Server-Load", "Retry-After", "Server-Limit"])
def test_an_odd_number_in_a_response_raises_nothing(odd: str, name: str) -> None:
    for value in (odd, f"{odd},{odd},{odd},{odd}"):
        read_response_metadata(503, HTTPHeaders({name: value}))


# Guards against an unlimited rate for a server that states its limit as a list or with
# parameters; the lowest holds.
@pytest.mark.parametrize("stated", ["4", "4.0", "9, 4", "4;window=1", "soon, 4"])
def test_a_limit_on_rates_is_read_in_each_form(stated: str) -> None:
    headers = HTTPHeaders({"Server-Limit": stated, "Response-Signature": "s"})
    notice = read_response_metadata(200, headers).notice
    assert (notice.limit_per_s, notice.unlimited) == (4.0, False)


# Guards against further requests for a server that says in another form that it leaves.
@pytest.mark.parametrize(
    ("stated", "leaving"),
    [("1", True), ("1, 1", True), ("1;in=5", True), ("1.0", True), ("0", False)],
)
def test_a_leave_is_read_in_each_form(stated: str, leaving: bool) -> None:
    headers = HTTPHeaders({"Server-Leaving": stated})
    assert read_response_metadata(200, headers).notice.leaving is leaving


# Guards against a request that costs its workspace's quota next to nothing, or is
# rejected, for the form of its numbers of tokens.
@pytest.mark.parametrize("stated", ["100,20", "100.0,20", "1e2, 19.5", "+100,20;x=1"])
def test_tokens_are_counted_in_each_form_of_a_number(stated: str) -> None:
    assert decode(Token_Usage=stated).tokens == 120
    prompt = decode(Token_Usage=stated.partition(";")[0], Model="m").prompt
    assert prompt is not None
    assert prompt.input_tokens + prompt.output_tokens == 120


# Guards against a prompt of no size for numbers that nobody can read.
@pytest.mark.parametrize("stated", ["many", "100,nan", "-1,20", "1_0,20"])
def test_tokens_that_are_no_numbers_are_rejected(stated: str) -> None:
    assert decode(Token_Usage=stated).tokens is None
    with pytest.raises(BadRequestError):
        decode(Token_Usage=stated, Model="m")


@given(st.text())
def test_arbitrary_text_is_a_count_or_nothing(text: str) -> None:
    count = parse_int(text)
    assert count is None or 0 <= count <= MAX_COUNT
