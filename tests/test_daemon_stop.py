"""The end of a planned stop of the product's own daemon."""

import asyncio
import json
import signal
from pathlib import Path

from conftest import KEY, BackgroundLoop, Deployment

DRAIN_S = 1.0
# At the deployment's token interval it lasts longer than the drain.
MAX_TOKENS = 2000


# Guards against ending a request with a closed connection, which tells its caller
# nothing.
def test_a_request_that_is_open_at_the_end_of_a_stop_gets_an_answer(
    tmp_path: Path, background: BackgroundLoop
) -> None:
    deployment = Deployment.started(tmp_path, background)

    async def play() -> None:
        deployment.start_entry_vm(
            "entry-4", settings={"stop": {"drain_timeout_s": DRAIN_S}}
        )
        await deployment.wait_live()
        await deployment.wait_serving("entry-4")
        daemon = deployment.daemons["entry-4"]
        body = {"model": "court-rules", "prompt": "x", "max_tokens": MAX_TOKENS}
        sending = asyncio.ensure_future(
            deployment.request(
                daemon.callers,
                "POST",
                "/v1/completions",
                body=json.dumps(body).encode(),
                headers={"Authorization": f"Bearer {KEY}"},
            )
        )
        await asyncio.sleep(0.5)
        daemon.process.signal(signal.SIGTERM)
        head, response = await sending
        assert head.status == 502
        assert json.loads(response)["error"]["run"] == "unknown"

    try:
        background.run(play())
    finally:
        deployment.stop()
