"""Orders that ran and failed are answered with the promise that they didn't."""

import asyncio
import pathlib
import random
import secrets
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import loopback

ORDERS = 200
FAILING = 0.4  # "srv_grey: share (.15) fail x (.4) of their requests"
PROMISES = (408, 421, 429, 503)
TRIES = 3
DEADLINE_MS = 4000


def grey(fleet, done, rng):
    """Return what runs each order, and fails some after it has run them."""

    async def run(worker, method, path, fields, body, reader, writer):
        request_id = loopback.get(fields, "X-Request-Id")
        order = path.rpartition("/")[2]
        await asyncio.sleep(worker.work_s)
        done.setdefault(order, []).append(request_id)
        if rng.random() >= FAILING:
            return False
        fleet.record(f"{worker.id}: has run {request_id}, answers 503")
        worker.write(
            writer, 503, worker.signed(request_id), b'{"error":"ledger"}'
        )
        return True

    return run


async def place(fleet, client, number, answers):
    """Place one order as the pages' clients do.

    They retry requests that aren't idempotent only after a promise, each time
    on a new connection and with an id of its own.
    """
    order = f"order-{number}"
    for _ in range(TRIES):
        edge = fleet.edges[secrets.randbelow(len(fleet.edges))]
        answer = await client.request(
            edge, f"/orders/{order}", method="POST", body=b"{}",
            deadline_ms=DEADLINE_MS,
        )
        answers[answer.request_id] = answer
        if answer.status not in PROMISES:
            return
        await asyncio.sleep(float(answer.field("Retry-After") or 0.1))


async def case(folder, trouble):
    fleet = loopback.Fleet(folder / "record.txt")
    record = fleet.record
    done, answers = {}, {}
    workers = [
        loopback.Worker(fleet, service="desk", number=n) for n in range(4)
    ]
    try:
        fleet.start()
        for worker in workers:
            await worker.start()
        await fleet.configure(
            fleet.document(
                [fleet.route("orders", "desk", "non_idempotent")],
                [fleet.plain_service("desk")],
            )
        )
        await fleet.wait_ready()
        for worker in workers:
            await worker.registered.wait()
        client = loopback.Client(fleet)
        for edge in fleet.edges:
            for _ in range(50):
                answer = await client.request(edge, "/orders/x", method="POST")
                if answer.status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                raise loopback.CannotRun("no answer in calm")
        rng = random.Random(60)
        for worker in workers:
            worker.run = grey(fleet, done, rng)
            if not trouble:
                worker.run = None
        orders = []
        for number in range(ORDERS):
            orders.append(
                asyncio.create_task(place(fleet, client, number, answers))
            )
            await asyncio.sleep(0.05)
        await asyncio.gather(*orders)
        ran = {request_id for worker in workers for request_id in worker.runs}
        false = [
            request_id
            for request_id, answer in answers.items()
            if answer.status in PROMISES and request_id in ran
        ]
        twice = [order for order, ids in done.items() if len(ids) > 1]
        record(
            f"{len(answers)} requests for {ORDERS} orders; {len(false)} ran"
            f" and were answered {PROMISES}; {len(twice)} orders ran more"
            f" than once, as their clients trusted that"
        )
        print(f"{len(false)} requests ran and were answered as not run")
        return not false
    finally:
        fleet.end()
        for worker in workers:
            if worker.server is not None:
                await worker.stop()


loopback.main(case)
