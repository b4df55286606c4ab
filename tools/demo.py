"""Starts a one-host fleet on loopback, uses it and stops it."""

from __future__ import annotations

import json
import pathlib
import tempfile

from tools import fleet

OFFICE = pathlib.Path(__file__).parent.parent / "examples" / "office"
KEY = "Bearer demo-key-thessaloniki"


def main() -> None:
    """Run the demo."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        daemon = fleet.DaemonProcess(
            folder=folder,
            daemon_id="entry-1",
            zone="attica-a",
            roles=("router", "control"),
        )
        standins = [
            fleet.StandinProcess(
                folder=folder,
                kind="engine",
                upstream_id=f"engine-{number}",
                zone="attica-a",
                offers="consultations/lacework/1",
                entries=(daemon.upstreams,),
            )
            for number in (1, 2)
        ]
        standins.append(
            fleet.StandinProcess(
                folder=folder,
                kind="plain",
                upstream_id="register-1",
                zone="attica-a",
                offers="register",
                entries=(daemon.upstreams,),
            )
        )
        try:
            _use(daemon, standins)
        finally:
            for standin in standins:
                standin.stop()
            print("daemon exit code:", daemon.stop())


def _use(
    daemon: fleet.DaemonProcess, standins: list[fleet.StandinProcess]
) -> None:
    daemon.start()
    for standin in standins:
        standin.start()
    fleet.wait_until(
        lambda: len(_upstreams(daemon)) == len(standins), "announcements"
    )
    published = fleet.command("publish", str(OFFICE), "--admin", daemon.admin)
    print(published.stdout.strip() or published.stderr.strip())
    chat = {
        "model": "lacework",
        "chat_id": "demo",
        "stream": True,
        "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which motif fits a doily?"}],
    }
    status, answer = fleet.fetch(
        f"http://{daemon.callers}/v1/chat/completions",
        method="POST",
        body=json.dumps(chat).encode(),
        headers={"Authorization": KEY, "Content-Type": "application/json"},
    )
    print(f"chat: {status}\n{answer.decode()}")
    for _ in range(2):
        status, answer = fleet.fetch(
            f"http://{daemon.callers}/register/orders",
            method="POST",
            body=b'{"die": "rosette-12"}',
            headers={"Authorization": KEY, "Idempotency-Key": "order-1"},
        )
        print(f"order: {status} {answer.decode()}")
    _, counts = fleet.fetch(f"{standins[-1].url}/counts")
    print(f"runs counted by the register: {counts.decode()}")
    print(fleet.command("status", "--admin", daemon.admin).stdout)


def _upstreams(daemon: fleet.DaemonProcess) -> list[object]:
    state = daemon.dump()
    return state["cores"]["membership"]["upstreams"] if state else []


if __name__ == "__main__":
    main()
