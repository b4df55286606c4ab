"""A request that crashes workers, and routers that are restarted in turn."""

import asyncio
import pathlib
import secrets
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import loopback

CONTACT = 3.0  # "ContactMs"
GRACE = 8.0  # "GraceS"
MOST_RETRIES = 3
BACK_AFTER = 2.5  # seconds until a worker that crashed is back
PATH = "/order/poison"
BODY = b"the same each time"


class Fragile(loopback.Worker):
    """A worker that a request crashes as it begins to run it."""

    def __init__(self, *args, arrivals, **options):
        super().__init__(*args, run=self._run, **options)
        self._arrivals = arrivals
        self._back = None

    async def _run(self, worker, method, path, fields, body, reader, writer):
        if path != PATH:
            return False
        request_id = loopback.get(fields, "X-Request-Id")
        self._arrivals.append(request_id)
        self.fleet.record(f"{self.id}: crashes under {request_id}")
        self._back = asyncio.create_task(self._return())
        raise OSError("crashed")

    async def _return(self):
        await self.stop()
        await self.server.wait_closed()
        await asyncio.sleep(BACK_AFTER)
        self.id = "i-" + secrets.token_hex(4)
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start(self.port)
        self.fleet.record(f"{self.id}: is back at {self.address}")


async def sound(fleet, client, told):
    """Send ordinary requests, no two alike, to all machines."""

    async def one(edge, path):
        answer = await client.request(
            edge, path, method="POST", body=b"y", quiet=True
        )
        told[answer.told] = told.get(answer.told, 0) + 1

    turn = 0
    tasks = []
    while True:
        edge = fleet.edges[turn % len(fleet.edges)]
        turn += 1
        tasks.append(asyncio.create_task(one(edge, f"/order/{turn}")))
        await asyncio.sleep(0.05)


async def restart(edge):
    edge.signal(signal.SIGTERM)
    until = time.monotonic() + GRACE
    while edge.process.poll() is None and time.monotonic() < until:
        await asyncio.sleep(0.05)
    edge.kill()
    await asyncio.sleep(0.3)
    edge.start()


async def poison(client, edge, sent):
    """Send the request once more, to a machine in touch."""
    answer = await client.request(edge, PATH, method="POST", body=BODY)
    sent[answer.request_id] = edge
    return answer


async def case(folder, trouble):
    fleet = loopback.Fleet(folder / "record.txt", edges=3)
    record = fleet.record
    arrivals = []
    workers = [
        Fragile(
            fleet, service="order", number=n, arrivals=arrivals, work_s=0.2
        )
        for n in range(6)
    ]
    background = None
    try:
        fleet.start()
        for worker in workers:
            await worker.start()
        await fleet.configure(
            fleet.document(
                [fleet.route("order", "order", "non_idempotent")],
                [fleet.plain_service("order")],
            )
        )
        await fleet.wait_ready()
        client = loopback.Client(fleet)
        for worker in workers:
            await worker.registered.wait()
        told = {}
        background = asyncio.create_task(sound(fleet, client, told))
        await asyncio.sleep(CONTACT + 1.0)
        sent = {}
        for turn in range(12):
            await poison(client, fleet.edges[turn % 3], sent)
            await asyncio.sleep(1.0)
            if len(arrivals) >= 3:
                break
        else:
            raise loopback.CannotRun("the request crashed too few workers")
        record("the third worker has crashed")
        await asyncio.sleep(CONTACT + 1.0)
        before = len(arrivals)
        record(f"{before} arrivals; those after this line count")
        for edge in fleet.edges:
            if trouble:
                await restart(edge)
            await fleet.wait_ready([edge])
            await asyncio.sleep(CONTACT + 0.5)  # in touch again
            for _ in range(4):
                await poison(client, edge, sent)
                await asyncio.sleep(1.0)
        retries = len(arrivals) - before
        record(
            f"{retries} retries reached workers, sent by machines in touch"
            f" later than ContactMs after the third crash; {MOST_RETRIES} may."
            f" Ordinary requests: {told}"
        )
        print(f"{retries} retries reached workers; {MOST_RETRIES} may")
        return retries <= MOST_RETRIES
    finally:
        if background is not None:
            background.cancel()
        fleet.end()
        for worker in workers:
            if worker.server is not None:
                await worker.stop()


loopback.main(case)
