"""Callers that keep their connections and note what they see."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time

from soak import promises
from tools import fleet

KEY = "Bearer demo-key-volos"
ORDER_PART = 0.4  # of the calls
RESEND_PART = 0.3  # of the orders
MOST_WORDS = 120
LONGEST_PAUSE = 0.1  # seconds
TIMEOUT = 25.0  # seconds; above every deadline of the files


class Client(threading.Thread):
    """One caller, which asks one daemon after the other."""

    def __init__(
        self, *, number: int, seed: int, daemons: list[fleet.DaemonProcess]
    ) -> None:
        super().__init__(name=f"client-{number}", daemon=True)
        self._number = number
        self._rng = random.Random(f"{seed}-{number}")
        self._daemons = daemons
        self._open: dict[str, http.client.HTTPConnection] = {}
        self._stopping = threading.Event()
        self._orders = 0
        self.calls: list[promises.Call] = []

    def run(self) -> None:
        """Call until told to stop."""
        while not self._stopping.is_set():
            daemon = self._rng.choice(self._daemons)
            if self._rng.random() < ORDER_PART:
                self._order(daemon)
            else:
                self.chat(daemon, self._rng.randrange(1, MOST_WORDS))
            time.sleep(self._rng.uniform(0, LONGEST_PAUSE))

    def stop(self) -> None:
        """Let the present call be the last."""
        self._stopping.set()

    def chat(self, daemon: fleet.DaemonProcess, words: int) -> promises.Call:
        """Ask for a streamed answer."""
        body = {
            "model": "lacework",
            "stream": True,
            "max_tokens": words,
            "chat_id": f"chat-{self._rng.randrange(20)}",
            "messages": [{"role": "user", "content": "motif"}],
        }
        data = json.dumps(body)
        return self._call(daemon, "/v1/chat/completions", data, asked=words)

    def order(self, daemon: fleet.DaemonProcess, key: str) -> promises.Call:
        """Place an order."""
        body = '{"die": "rosette-12"}'
        return self._call(daemon, "/register/orders", body, key=key)

    def new_key(self) -> str:
        """Return a key that no other order has."""
        self._orders += 1
        return f"order-{self._number}-{self._orders}"

    def _order(self, daemon: fleet.DaemonProcess) -> None:
        key = self.new_key()
        call = self.order(daemon, key)
        if call.status != 200 or self._rng.random() < RESEND_PART:
            self.order(self._rng.choice(self._daemons), key)

    def _call(
        self,
        daemon: fleet.DaemonProcess,
        path: str,
        body: str,
        *,
        key: str = "",
        asked: int = 0,
    ) -> promises.Call:
        started = time.monotonic()
        headers = {"Authorization": KEY, "Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        status, parts, whole = 0, [], False
        try:
            connection = self._connection(daemon)
            connection.request("POST", path, body=body, headers=headers)
            response = connection.getresponse()
            status = response.status
            while part := response.read1(65536):
                parts.append(part)
            whole = True
        except (OSError, http.client.HTTPException):
            self._drop(daemon)
        call = promises.Call(
            daemon_id=daemon.daemon_id,
            started=started,
            ended=time.monotonic(),
            status=status,
            body=b"".join(parts).decode(errors="replace"),
            whole=whole,
            key=key,
            asked=asked,
        )
        self.calls.append(call)
        return call

    def _connection(
        self, daemon: fleet.DaemonProcess
    ) -> http.client.HTTPConnection:
        known = self._open.get(daemon.daemon_id)
        if known is None:
            known = http.client.HTTPConnection(daemon.callers, timeout=TIMEOUT)
            self._open[daemon.daemon_id] = known
        return known

    def _drop(self, daemon: fleet.DaemonProcess) -> None:
        known = self._open.pop(daemon.daemon_id, None)
        if known is not None:
            known.close()
