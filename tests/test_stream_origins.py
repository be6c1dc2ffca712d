"""The table of the software versions that began recent streams."""

from rosepath.stream_origins import (
    MAX_ORIGINS,
    ORIGIN_TTL_S,
    StreamOrigin,
    StreamOrigins,
    origin_key,
)

FIRST = StreamOrigin(service="llm", software_version="v1")
SECOND = StreamOrigin(service="llm", software_version="v2")


def test_an_origin_is_found_as_long_as_callers_may_return() -> None:
    origins = StreamOrigins()
    origins.note("a", FIRST, now_s=0.0)
    origins.note("b", SECOND, now_s=1.0)
    assert origins.find("a", now_s=ORIGIN_TTL_S) == FIRST
    assert origins.find("a", now_s=ORIGIN_TTL_S + 0.5) is None
    assert origins.find("b", now_s=ORIGIN_TTL_S + 0.5) == SECOND


# Guards against a later notice, of whichever VM, that changes where a stream began.
def test_the_first_origin_of_a_stream_stays() -> None:
    origins = StreamOrigins()
    origins.note("a", FIRST, now_s=0.0)
    origins.note("a", SECOND, now_s=0.1)
    assert origins.find("a", now_s=0.2) == FIRST


# Guards against memory that grows with the callers' rate.
def test_the_oldest_origins_yield_to_new_ones() -> None:
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 10):
        origins.note(str(number), FIRST, now_s=0.0)
    assert len(origins) == MAX_ORIGINS
    assert origins.find("0", now_s=0.0) is None
    assert origins.find(str(MAX_ORIGINS + 9), now_s=0.0) == FIRST


def test_the_key_of_a_request_has_a_fixed_length() -> None:
    assert len(origin_key("q" * 5000)) == len(origin_key("q1")) == 16
