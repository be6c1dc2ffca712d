"""File a claim twice under one idempotency key; it runs only once."""

import json
import uuid
from urllib.request import Request, urlopen


def file_claim(key: str) -> dict[str, object]:
    """Post a claim to the echo service of the standalone mode."""
    request = Request(
        "http://127.0.0.1:8080/services/echo/claims",
        data=b"claim 17",
        headers={
            "Authorization": "Bearer demo-key",
            "Idempotency-Key": key,
            "Content-Type": "application/octet-stream",
        },
    )
    with urlopen(request) as response:
        print("replayed:", response.headers.get("Rosepath-Replayed", "no"))
        return dict(json.load(response))


def main() -> None:
    """File the same claim twice and compare the responses."""
    key = uuid.uuid4().hex
    assert file_claim(key) == file_claim(key)


if __name__ == "__main__":
    main()
