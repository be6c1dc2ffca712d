"""Tests of which requests share a content key."""

from entry_builders import a_call

from rosepath.content_key import content_key


def test_retry_with_another_id_has_the_same_key() -> None:
    first = a_call(request_id="q1", path="/drafts/1", body=b"text")
    again = a_call(request_id="q2", path="/drafts/1", body=b"text")
    assert content_key(first) == content_key(again)


def test_requests_differing_in_method_path_or_body_have_different_keys() -> None:
    keys = {
        content_key(a_call(path=path, body=body, method=method))
        for path in ("/drafts/1", "/drafts/2")
        for body in (b"", b"text")
        for method in ("GET", "POST")
    }
    assert len(keys) == 8
