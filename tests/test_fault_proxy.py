"""The proxy that injects faults into the links of soaks and tests."""

import asyncio

from rosepath_standins.fault_proxy import FaultProxy


# Guards against soaks that end with an error of the proxy's own, as it resets
# connections that have just closed.
def test_connections_that_have_just_closed_can_be_reset() -> None:
    async def run() -> None:
        target = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        host, port = target.sockets[0].getsockname()
        proxy = FaultProxy(f"{host}:{port}")
        host, _, port = (await proxy.start()).rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        while not proxy._writers:  # noqa: ASYNC110
            await asyncio.sleep(0)
        for forwarding in proxy._writers:
            forwarding.transport.abort()
        while proxy._writers:
            proxy.reset_all()
            await asyncio.sleep(0)
        writer.close()
        await proxy.stop()
        target.close()

    asyncio.run(run())
