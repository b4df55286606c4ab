"""Steps over a stand-in's parts and its running process."""

from __future__ import annotations

import http.client
import json
import threading

import behave

from fulmarbarrow.standins import batch as batches
from fulmarbarrow.standins import prefix_cache
from tools import fleet

CHAT = "/v1/chat/completions"
SHORT_SECONDS = 0.5


def start_engine(context, name):
    engine = fleet.StandinProcess(
        folder=context.path,
        kind="engine",
        upstream_id=name,
        zone="attica-a",
        offers="consultations/lacework/1",
        entries=("127.0.0.1:9",),
    )
    context.processes[name] = engine
    engine.start()
    fleet.wait_until(lambda: state(engine), f"{name} starts")
    return engine


def state(engine):
    status, body = fleet.fetch(f"{engine.url}/admin/state")
    return json.loads(body) if status == 200 else None


def ask(context, text="hemlock", tokens=4, chat="", **headers):
    context.attempts = getattr(context, "attempts", 0) + 1
    body = {
        "model": "lacework",
        "stream": True,
        "max_tokens": tokens,
        "chat_id": chat,
        "messages": [{"role": "user", "content": text}],
    }
    connection = http.client.HTTPConnection(
        "127.0.0.1", context.engine.port, timeout=fleet.WAIT_SECONDS
    )
    context.headers, context.status, context.answer = {}, 0, b""
    try:
        connection.request(
            "POST",
            CHAT,
            body=json.dumps(body),
            headers={
                "X-Attempt-Id": f"attempt-{context.attempts}",
                "X-Model-Version": "1",
                **{name.replace("_", "-"): headers[name] for name in headers},
            },
        )
        response = connection.getresponse()
        context.status = response.status
        context.headers = dict(response.getheaders())
        context.answer = response.read()
    except http.client.IncompleteRead as error:
        context.answer = error.partial
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()


def events(context):
    return [
        event.removeprefix("data: ")
        for event in context.answer.decode().strip().split("\n\n")
        if event
    ]


def words(context):
    return [
        json.loads(event)["choices"][0]["delta"]["content"].strip()
        for event in events(context)
        if event != "[DONE]"
    ]


def order(context, **fields):
    context.orders = getattr(context, "orders", 0) + 1
    context.order_status, body = fleet.fetch(
        f"{context.engine.url}/v1/orders",
        method="POST",
        body=json.dumps(
            {"order_id": f"order-{context.orders}", **fields}
        ).encode(),
    )
    context.order_reply = json.loads(body)


@behave.given("a batch of {limit:d} that computes {rate:d} tokens a second")
def step_batch(context, limit, rate):
    context.batch = batches.Batch(
        limit=limit,
        queue_limit=2,
        tokens_per_second=rate,
        job_tokens_per_second=rate,
        prompt_tokens_per_second=rate,
    )


def add_jobs(context, count, tokens):
    context.taken = [
        context.batch.add(
            batches.Job(
                attempt_id=str(number),
                priority=0,
                prompt_tokens=0,
                answer_tokens=tokens,
            )
        )
        for number in range(count)
    ]


@behave.when("{count:d} jobs of {tokens:d} tokens run for 1 second")
def step_run_jobs(context, count, tokens):
    add_jobs(context, count, tokens)
    for _ in range(10):
        context.batch.advance(0.1)


@behave.when("{count:d} jobs of {tokens:d} tokens are added")
def step_add_jobs(context, count, tokens):
    add_jobs(context, count, tokens)


@behave.then("each has {tokens:d} tokens")
def step_each(context, tokens):
    generated = {round(job.generated, 6) for job in context.batch.running}
    assert generated == {float(tokens)}, generated


@behave.then("the last {refused:d} is refused and {waiting:d} wait")
def step_refused(context, refused, waiting):
    assert context.taken[-refused:] == [False] * refused
    assert all(context.taken[:-refused])
    assert len(context.batch.queued) == waiting


@behave.given(
    "a cache of {capacity:d} tokens with chats a and b of {size:d} tokens each"
)
def step_cache(context, capacity, size):
    context.cache = prefix_cache.PrefixCache(capacity_tokens=capacity)
    context.cache.store("a", size)
    context.cache.store("b", size)


@behave.when("a is used and c stores {size:d} tokens")
def step_use(context, size):
    assert context.cache.find("a") == size
    context.evicted = context.cache.store("c", size)


@behave.then("b is evicted")
def step_evicted(context):
    assert context.evicted == ["b"], context.evicted
    assert context.cache.chats == ["a", "c"]


@behave.given("a running engine")
def step_engine(context):
    context.engine = start_engine(context, "engine-1")


@behave.given("another running engine")
def step_other_engine(context):
    context.other = start_engine(context, "engine-2")


@behave.when('chat "{chat}" asks twice')
def step_twice(context, chat):
    context.cached = []
    for _ in range(2):
        ask(context, text="a long motif " * 40, chat=chat)
        used = json.loads(events(context)[-2])["usage"]
        context.cached.append(used["prompt_tokens_details"]["cached_tokens"])


@behave.then("the second answer reused cached tokens and the first none")
def step_reused(context):
    first, second = context.cached
    assert first == 0
    assert second > 100, second


@behave.when("a chat of {tokens:d} tokens is resumed at {offset:d}")
def step_resume(context, tokens, offset):
    ask(context, tokens=tokens, X_Resume_Offset=str(offset))


@behave.then('the words are "{expected}"')
def step_words(context, expected):
    assert words(context) == expected.split(), context.answer


@behave.when('the engine is ordered to export chat "{chat}" to the other')
def step_export(context, chat):
    order(
        context,
        kind="export_kv",
        subject=chat,
        argument=context.other.url,
    )
    assert context.order_status == 200, context.order_reply


@behave.then('the other engine has chat "{chat}" in cache')
def step_moved(context, chat):
    fleet.wait_until(
        lambda: chat in state(context.other)["cached_chats"], "moved"
    )


@behave.when(
    "it is ordered to load version {version} with fencing number {number:d}"
)
def step_load(context, version, number):
    order(
        context,
        kind="load_model",
        subject="lacework",
        version=version,
        fencing_number=number,
    )


@behave.then("the last order is refused as {code}")
def step_order_refused(context, code):
    assert context.order_status == 409
    assert context.order_reply["code"] == code


@behave.then("the engine offers versions 1 and 2")
def step_offers(context):
    offers = state(context.engine)["offers"]
    assert offers == [
        "consultations/lacework/1",
        "consultations/lacework/2",
    ], offers


@behave.when("a chat of {tokens:d} tokens is cancelled while it runs")
def step_cancel(context, tokens):
    thread = threading.Thread(target=ask, args=(context, "x", tokens))
    thread.start()
    fleet.wait_until(lambda: state(context.engine)["running"], "runs")
    _, body = fleet.fetch(
        f"{context.engine.url}/v1/cancel",
        method="POST",
        body=b'{"attempt_id": "attempt-1"}',
    )
    assert json.loads(body) == {"cancelled": True}
    thread.join()


@behave.then("nothing runs on the engine")
def step_idle(context):
    assert state(context.engine)["running"] == []


@behave.when("the fault is switched on")
def step_fault(context):
    status, body = fleet.fetch(
        f"{context.engine.url}/admin/faults",
        method="POST",
        body=context.text.encode(),
    )
    assert status == 200, body


@behave.when('a chat says "{text}"')
def step_says(context, text):
    ask(context, text=text)


@behave.when("version {version} is asked")
def step_version(context, version):
    ask(context, X_Model_Version=version)


@behave.then("the answer is whole")
def step_whole(context):
    assert words(context) == ["w0", "w1", "w2", "w3"], context.answer
    assert events(context)[-1] == "[DONE]"


@behave.then("there is no answer")
def step_no_answer(context):
    assert context.status == 0 or not context.answer


@behave.then("the engine's process ends")
def step_ends(context):
    fleet.wait_until(lambda: context.engine.process.poll() is not None, "ends")
    assert context.engine.process.returncode == 70


@behave.then('the status is {status:d} with header {name} "{value}"')
@behave.then('the status is {status:d} with header {name} ""')
def step_status(context, status, name, value=""):
    assert context.status == status, context.status
    assert context.headers.get(name, "") == value, context.headers


@behave.then("the answer ends after {count:d} words")
def step_cut(context, count):
    assert len(words(context)) == count, context.answer
    assert events(context)[-1] != "[DONE]"


@behave.then("the answer names the attempt before")
def step_crossed(context):
    before = f"attempt-{context.attempts - 1}"
    assert context.headers["X-Attempt-Id"] == before, context.headers


@behave.when("a connection is opened and used")
def step_connection(context):
    context.connection = http.client.HTTPConnection(
        "127.0.0.1", context.engine.port, timeout=fleet.WAIT_SECONDS
    )
    use(context)
    assert b"[DONE]" in context.connection.getresponse().read()


def use(context):
    context.connection.request(
        "POST",
        CHAT,
        body=json.dumps(
            {
                "model": "lacework",
                "stream": True,
                "max_tokens": 2,
                "messages": [],
            }
        ),
        headers={"X-Attempt-Id": "attempt-0"},
    )


@behave.then("the connection gives no answer")
def step_silent(context):
    context.connection.sock.settimeout(SHORT_SECONDS)
    use(context)
    try:
        context.connection.getresponse()
    except TimeoutError:
        return
    raise AssertionError("the connection answered")


@behave.when("a chat expects incarnation {number:d}")
def step_incarnation(context, number):
    ask(context, X_Expected_Incarnation=str(number))
