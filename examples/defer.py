"""Defer a request to run later and fetch its result."""

import json
import time
from urllib.request import Request, urlopen

BASE_URL = "http://127.0.0.1:8080/v1/deferred"
HEADERS = {"Authorization": "Bearer demo-key", "Content-Type": "application/json"}


def call(url: str, body: object = None) -> dict[str, str]:
    """Send one request and return its JSON response."""
    data = None if body is None else json.dumps(body).encode()
    with urlopen(Request(url, data=data, headers=HEADERS)) as response:
        return dict(json.load(response))


def main() -> None:
    """Defer a completion and wait for it."""
    completion = {"model": "court-rules", "prompt": "tonight", "max_tokens": 8}
    accepted = call(BASE_URL, {"shape": "completion", "body": completion})
    print(accepted)
    while (result := call(f"{BASE_URL}/{accepted['id']}"))["status"] in (
        "queued",
        "running",
    ):
        time.sleep(0.5)
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
