"""A bare klein and treq pass-through: the baseline of the daemon."""

from __future__ import annotations

import asyncio

import fire
from twisted.internet import asyncioreactor
from twisted.internet import defer
from twisted.internet import protocol


def run(port: int, upstream: str) -> None:
    """Pass every request on to the upstream's URL and the answer back."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    import klein
    import treq
    from twisted.internet import reactor
    from twisted.web import server

    app = klein.Klein()

    @app.route("/", branch=True)
    async def pass_on(request):
        response = await treq.request(
            request.method.decode(),
            upstream + request.uri.decode(),
            headers={"Content-Type": "application/json"},
            data=request.content.read() or None,
            unbuffered=True,
        )
        request.setResponseCode(response.code)
        for name in ("Content-Type", "Content-Length"):
            for value in response.headers.getRawHeaders(name, ()):
                request.setHeader(name, value)
        done = defer.Deferred()
        response.deliverBody(_Copy(request, done))
        await done
        return b""

    reactor.listenTCP(port, server.Site(app.resource()), interface="127.0.0.1")
    reactor.run()


class _Copy(protocol.Protocol):
    def __init__(self, request, done):
        self._request = request
        self._done = done

    def dataReceived(self, data):  # noqa: N802
        self._request.write(data)

    def connectionLost(self, reason):  # noqa: N802
        self._done.callback(None)


if __name__ == "__main__":
    fire.Fire(run)
