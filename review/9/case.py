"""Streams whose ids begin at 0: the client misses the first event."""

import asyncio
import pathlib
import re
import secrets
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import loopback

STREAMS = 30
EVENTS = 10
PAUSE = 0.03


def streaming(made, first):
    """Return what answers with events whose ids increase by one."""

    async def run(worker, method, path, fields, body, reader, writer):
        request_id = loopback.get(fields, "X-Request-Id")
        head = [
            "HTTP/1.1 200 X",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *(f"{k}: {v}" for k, v in worker.signed(request_id)),
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(first, first + EVENTS):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            made.setdefault(request_id, []).append(number)
            await asyncio.sleep(PAUSE)
        writer.write(b"0\r\n\r\n")
        return True

    return run


async def case(folder, trouble):
    fleet = loopback.Fleet(folder / "record.txt")
    record = fleet.record
    made = {}
    first = 0 if trouble else 1
    workers = [
        loopback.Worker(
            fleet, service="model", number=n, slots=128, models=["m"],
            run=streaming(made, first),
        )
        for n in range(3)
    ]
    try:
        fleet.start()
        for worker in workers:
            await worker.start()
        await fleet.configure(
            fleet.document(
                [
                    fleet.route(
                        "chat", "model", "streaming", SessionAffinity=True,
                        TargetGapMs=300,
                    ),
                ],
                [fleet.model_service("model")],
            )
        )
        await fleet.wait_ready()
        for worker in workers:
            await worker.registered.wait()
        client = loopback.Client(fleet)

        async def ask(edge):
            part = secrets.token_hex(4)
            return await client.request(
                edge, "/chat/2f", method="POST", body=b"{}",
                more=[
                    ("X-Model", "m"),
                    ("X-Token-Count", "600,80"),
                    ("X-Prompt-Prefix", f"5c1e07a2:400,{part}:200"),
                ],
            )

        for edge in fleet.edges:
            for _ in range(50):
                answer = await ask(edge)
                if answer.status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                raise loopback.CannotRun("no answer in calm")
        missing = 0
        for number in range(STREAMS):
            answer = await ask(fleet.edges[number % len(fleet.edges)])
            told = answer.request_id
            got = [int(i) for i in re.findall(rb"id: (\d+)", answer.body)]
            sent = made.get(told, [])
            record(
                f"client: {told} got events {got},"
                f" {'complete' if answer.whole else 'broken off'};"
                f" its worker made {sent}"
            )
            if answer.status == 200 and answer.whole and got != sent:
                missing += 1
        record(f"{missing} of {STREAMS} complete streams lack an event")
        print(f"{missing} of {STREAMS} complete streams lack an event")
        return not missing
    finally:
        fleet.end()
        for worker in workers:
            if worker.server is not None:
                await worker.stop()


loopback.main(case)
