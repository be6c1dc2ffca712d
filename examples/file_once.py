"""File a claim under a key, then repeat it: it runs once."""

import json
import uuid
from urllib.request import Request, urlopen


def file_claim(key: str) -> dict[str, object]:
    """Post to the standalone mode's echo service."""
    request = Request(
        "http://127.0.0.1:8080/services/echo/claims",
        data=b"claim 17",
        headers={
            "Authorization": "Bearer demo-key",
            "Idempotency-Key": key,
            "Content-Type": "application/octet-stream",
        },
    )
    with urlopen(request) as answer:
        print("replayed:", answer.headers.get("Rosepath-Replayed", "no"))
        return dict(json.load(answer))


def main() -> None:
    """File twice under one key and compare."""
    key = uuid.uuid4().hex
    assert file_claim(key) == file_claim(key)


if __name__ == "__main__":
    main()
