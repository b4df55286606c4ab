"""Records the stories under ``traces/`` from real daemons and stand-ins.

Each story starts a daemon that records from its start, plays its requests
and faults over HTTP, stops everything and keeps the trace. The outcome that
is stated beside each trace is written by hand and not touched.
"""

from __future__ import annotations

import collections.abc
import concurrent.futures as futures
import dataclasses
import json
import pathlib
import shutil
import sys
import tempfile
import time

from tools import fleet

ROOT = pathlib.Path(__file__).parent.parent
TRACES = ROOT / "traces"
OFFICE = ROOT / "examples" / "office"
KITAMI = ROOT / "examples" / "kitami"
TRACE = '[trace]\npath = "trace.jsonl"\n'
CHAT_PATH = "/v1/chat/completions"
AFTER_PUBLISH_SECONDS = 0.5
RAMP_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Standin:
    """A stand-in of a story."""

    name: str
    kind: str
    zone: str
    offers: str
    options: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Story:
    """A story: its files, stand-ins and what happens."""

    name: str
    files: pathlib.Path
    zone: str
    region: str
    standins: tuple[Standin, ...]
    tell: collections.abc.Callable[[Stage], None]


class Stage:
    """The running processes of a story."""

    def __init__(self, *, story: Story, folder: pathlib.Path) -> None:
        self._story = story
        self.folder = folder
        self.files = folder / "files"
        shutil.copytree(story.files, self.files)
        self.daemon = fleet.DaemonProcess(
            folder=folder,
            daemon_id="entry-1",
            zone=story.zone,
            region=story.region,
            roles=("router", "control"),
            more=TRACE,
        )
        self.standins = {
            standin.name: fleet.StandinProcess(
                folder=folder,
                kind=standin.kind,
                upstream_id=standin.name,
                zone=standin.zone,
                offers=standin.offers,
                entries=(self.daemon.upstreams,),
                **dict(standin.options),
            )
            for standin in story.standins
        }

    def open(self) -> None:
        """Start everything and put the files in force."""
        self.daemon.start()
        for standin in self.standins.values():
            standin.start()
        fleet.wait_until(self._announced, "every stand-in announced")
        self.publish()
        time.sleep(RAMP_SECONDS)

    def close(self) -> pathlib.Path:
        """Stop everything and return the trace."""
        self.daemon.stop()
        for standin in self.standins.values():
            standin.kill()
        return self.folder / "entry-1" / "trace.jsonl"

    def publish(self) -> None:
        """Publish the story's files."""
        done = fleet.command(
            "publish", str(self.files), "--admin", self.daemon.admin
        )
        if done.returncode:
            raise RuntimeError(done.stderr)
        time.sleep(AFTER_PUBLISH_SECONDS)

    def fault(self, standin: str, **fields: object) -> None:
        """Switch a fault on at a stand-in."""
        fleet.fetch(
            f"{self.standins[standin].url}/admin/faults",
            method="POST",
            body=json.dumps(fields).encode(),
        )

    def chat(
        self,
        account: str,
        model: str,
        *,
        chat: str,
        tokens: int = 40,
        stream: bool = True,
    ) -> int:
        """Send a chat and return the status of its answer."""
        body = {
            "model": model,
            "chat_id": chat,
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": f"about {chat}"}],
        }
        return self._call(account, "POST", CHAT_PATH, json.dumps(body), "")

    def call(
        self,
        account: str,
        path: str,
        *,
        body: str = "",
        key: str = "",
    ) -> int:
        """Call a plain service and return the status of its answer."""
        method = "POST" if body else "GET"
        return self._call(account, method, path, body, key)

    def _call(
        self, account: str, method: str, path: str, body: str, key: str
    ) -> int:
        headers = {"Authorization": f"Bearer demo-key-{account}"}
        if key:
            headers["Idempotency-Key"] = key
        status, _ = fleet.fetch(
            f"http://{self.daemon.callers}{path}",
            method=method,
            body=body.encode() or None,
            headers=headers,
        )
        return status

    def _announced(self) -> bool:
        state = self.daemon.dump() or {}
        known = state["cores"]["membership"]["upstreams"]
        return len(known) == len(self.standins)


def _at_once(
    calls: collections.abc.Sequence[collections.abc.Callable[[], int]],
) -> None:
    """Make calls side by side and wait for all answers."""
    with futures.ThreadPoolExecutor(len(calls)) as pool:
        for future in [pool.submit(call) for call in calls]:
            future.result()


def _late_answer(stage: Stage) -> None:
    """Open connections fall silent while the press waits for a pattern."""

    def fall_silent() -> int:
        time.sleep(0.4)
        for name in ("engine-1", "engine-2"):
            stage.fault(name, fault="silent")
        return 0

    def ask() -> int:
        return stage.chat("chania", "lacework", chat="press-7", tokens=200)

    _at_once([ask, fall_silent])


def _lost_order(stage: Stage) -> None:
    """The register's answer to an order is cut; the caller asks again."""
    stage.fault("register-1", fault="cut", count=1)
    for _ in range(3):
        stage.call(
            "volos",
            "/register/orders",
            body='{"die": "rosette-12"}',
            key="festival-order",
        )
        time.sleep(1.0)


def _doubled_stamp(stage: Stage) -> None:
    """An inspector sends the same stamp approval three times."""
    for _ in range(3):
        stage.call(
            "inspectorate",
            "/register/stamps",
            body='{"stamp": "approve-31"}',
            key="stamp-31",
        )


def _hung_advisor(stage: Stage) -> None:
    """The connection breaks in the middle of a glaze answer."""
    for name in ("engine-1", "engine-2"):
        stage.fault(name, fault="cut", events=50, count=1)
    stage.chat("sapporo-buyers", "glaze-advisor", chat="celadon", tokens=300)


def _double_order(stage: Stage) -> None:
    """A wholesale order is sent twice at once, and once more later."""
    order = '{"gourds": 400, "kiln": 2}'

    def send() -> int:
        return stage.call(
            "abashiri-market", "/trade/orders", body=order, key="wholesale-9"
        )

    _at_once([send, send])
    send()


def _morning_auction(stage: Stage) -> None:
    """Bidders look up stock while drafts are written."""
    drafts = [
        lambda n=number: stage.chat(
            "tanno-gourds", "catalogue-writer", chat=f"draft-{n}", tokens=200
        )
        for number in range(4)
    ]
    looks = [
        lambda n=number: stage.call("monbetsu-auction", f"/trade/stock/{n}")
        for number in range(24)
    ]
    _at_once([*drafts, *looks])


def _tagger(stage: Stage) -> None:
    """Defect tags are wanted while long drafts fill the engines."""
    drafts = [
        lambda n=number: stage.chat(
            "oketo-lathe", "catalogue-writer", chat=f"long-{n}", tokens=300
        )
        for number in range(6)
    ]
    tags = [
        lambda n=number: stage.chat(
            "bihoro-lacquer", "defect-tagger", chat=f"tag-{n}", tokens=5
        )
        for number in range(8)
    ]
    _at_once([*drafts, *tags])


def _zone_out_and_back(stage: Stage) -> None:
    """Operators take an availability zone out and bring it back."""
    zones = stage.files / "zones.toml"
    before = zones.read_text()
    name = 'name = "attica-b"\n'

    def chats(first: int) -> None:
        _at_once(
            [
                lambda n=number: stage.chat(
                    "patras", "lacework", chat=f"chat-{n}", tokens=20
                )
                for number in range(first, first + 6)
            ]
        )

    chats(0)
    zones.write_text(before.replace(name, name + 'state = "out"\n'))
    stage.publish()
    time.sleep(2.0)
    chats(0)
    zones.write_text(before)
    stage.publish()
    chats(0)


def _engine(name: str, zone: str, offers: str, **options: float) -> Standin:
    return Standin(
        name=name,
        kind="engine",
        zone=zone,
        offers=offers,
        options=tuple(options.items()),
    )


def _office(
    name: str,
    tell: collections.abc.Callable[[Stage], None],
    *standins: Standin,
) -> Story:
    return Story(
        name=name,
        files=OFFICE,
        zone="attica-a",
        region="attica",
        standins=standins,
        tell=tell,
    )


def _kitami(
    name: str,
    tell: collections.abc.Callable[[Stage], None],
    *standins: Standin,
) -> Story:
    return Story(
        name=name,
        files=KITAMI,
        zone="okhotsk-a",
        region="okhotsk",
        standins=standins,
        tell=tell,
    )


_LACEWORK = "consultations/lacework/1"
_ADVICE = "advice/glaze-advisor/1,advice/catalogue-writer/1"
_REGISTER = Standin(
    name="register-1", kind="plain", zone="attica-a", offers="register"
)
_DESK = Standin(
    name="desk-1", kind="plain", zone="okhotsk-a", offers="trade-desk"
)

STORIES = (
    _office(
        "late-answer-at-the-press",
        _late_answer,
        _engine("engine-1", "attica-a", _LACEWORK),
        _engine("engine-2", "attica-b", _LACEWORK),
    ),
    _office("lost-order", _lost_order, _REGISTER),
    _office("doubled-stamp", _doubled_stamp, _REGISTER),
    _kitami(
        "hung-glaze-advisor",
        _hung_advisor,
        _engine("engine-1", "okhotsk-a", _ADVICE),
        _engine("engine-2", "okhotsk-b", _ADVICE),
    ),
    _kitami("double-wholesale-order", _double_order, _DESK),
    _kitami(
        "morning-auction",
        _morning_auction,
        _engine("engine-1", "okhotsk-a", _ADVICE),
        _DESK,
    ),
    _kitami(
        "tagger-behind-drafts",
        _tagger,
        _engine("engine-1", "okhotsk-a", f"{_ADVICE},tagging/defect-tagger/1"),
    ),
    _office(
        "zone-out-and-back",
        _zone_out_and_back,
        _engine("engine-1", "attica-a", _LACEWORK),
        _engine("engine-2", "attica-b", _LACEWORK),
    ),
)


def record(story: Story) -> None:
    """Play one story and keep its trace."""
    with tempfile.TemporaryDirectory() as name:
        stage = Stage(story=story, folder=pathlib.Path(name))
        try:
            stage.open()
            story.tell(stage)
        finally:
            trace = stage.close()
        # The settings in a trace name the folder of this run.
        text = trace.read_text().replace(name, "data")
        (TRACES / f"{story.name}.jsonl").write_text(text)


def main() -> None:
    """Record the stories named as arguments, or all."""
    TRACES.mkdir(exist_ok=True)
    wanted = set(sys.argv[1:])
    for story in STORIES:
        if not wanted or story.name in wanted:
            record(story)
            size = (TRACES / f"{story.name}.jsonl").stat().st_size
            print(f"{story.name}: {size} bytes")


if __name__ == "__main__":
    main()
