"""The load that a server states is read whatever further figures follow."""

import pytest
from tornado.httputil import HTTPHeaders

from rosepath.platform.calls import read_response_metadata
from rosepath.response_metadata import ServerLoad


def read_load(raw: str) -> ServerLoad | None:
    headers = HTTPHeaders({"Server-Load": raw})
    return read_response_metadata(200, headers).load


@pytest.mark.parametrize(
    ("raw", "load"),
    [
        ("3,0,8", ServerLoad(3, 0, 8, 1.0)),
        ("3, 1, 8, 250", ServerLoad(3, 1, 8, 2.5)),
        ("3,1,8,62.5", ServerLoad(3, 1, 8, 0.625)),
        ("3,1,8,250,7", ServerLoad(3, 1, 8, 2.5)),
        ("3,1,8,soon", ServerLoad(3, 1, 8, 1.0)),
        ("3,1,8,0", ServerLoad(3, 1, 8, 1.0)),
    ],
)
def test_load_with_more_figures_than_known_is_not_discarded(
    raw: str, load: ServerLoad
) -> None:
    assert read_load(raw) == load


@pytest.mark.parametrize("raw", ["", "3,1", "3,,8", "three,1,8", "inf,1,8", "-1,1,8"])
def test_load_without_its_first_three_figures_is_unknown(raw: str) -> None:
    assert read_load(raw) is None
