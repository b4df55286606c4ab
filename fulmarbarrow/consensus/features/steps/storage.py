"""Steps over log storage in real files."""

from __future__ import annotations

import errno
import itertools
import os
import shutil
from unittest import mock

import behave

from fulmarbarrow.consensus import files
from fulmarbarrow.consensus import identity
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import storage
from fulmarbarrow import exceptions

GROUP = records.Group.JOURNAL
BALLOT = records.Ballot(term=3, vote="control-0/a")
INITIAL_SNAPSHOT = records.initial_snapshot(
    GROUP, (records.Member(daemon_id="c", identity="a", address="c"),)
)


def entry(index, term=3):
    return records.Entry(
        index=index,
        term=term,
        kind=records.EntryKind.COMMAND,
        data=b"%d" % index * 20,
    )


def persist(**fields):
    return messages.Persist(group=GROUP, write_id=1, **fields)


def reopen(context):
    context.log.close()
    context.log = storage.LogStorage(folder=context.path / "log")
    return context.log.stored()


def fill(context, count, segment_bytes):
    context.log = storage.LogStorage(
        folder=context.path / "log", segment_bytes=segment_bytes
    )
    context.log.write(
        [persist(snapshot=INITIAL_SNAPSHOT, reset=True, ballot=BALLOT)]
    )
    context.offsets = []
    for index in range(1, count + 1):
        context.offsets.append(context.log.size_bytes)
        context.log.write([persist(entries=(entry(index),))])
    context.files = sorted((context.path / "log").glob("*.log"))
    context.count = count


@behave.given("a stored log with {count:d} entries")
def step_log(context, count):
    fill(context, count, storage.SEGMENT_BYTES)


@behave.given("a stored log with {count:d} entries in small segments")
def step_log_small_segments(context, count):
    fill(context, count, 512)
    assert len(context.files) > 3


@behave.given("a snapshot at entry {index:d}")
def step_snapshot(context, index):
    context.log.write([persist(snapshot=snapshot(index, 3))])


def snapshot(index, term):
    return records.Snapshot(
        index=index,
        term=term,
        log_id=INITIAL_SNAPSHOT.log_id,
        configuration=INITIAL_SNAPSHOT.configuration,
    )


@behave.given(
    "a snapshot of another leader at entry {index:d}, "
    "without the reset of the old log"
)
def step_crash_before_reset(context, index):
    with mock.patch.object(
        storage.LogStorage,
        "_append",
        side_effect=exceptions.StorageError("crash"),
    ):
        try:
            context.log.write(
                [persist(snapshot=snapshot(index, 4), reset=True)]
            )
        except exceptions.StorageError:
            return
    raise AssertionError("the crash did not happen")


@behave.when("it is reopened")
def step_reopen(context):
    context.stored = reopen(context)


@behave.then("its ballot and {count:d} entries are found")
def step_found(context, count):
    assert context.stored.ballot == BALLOT
    assert len(context.stored.entries) == count, context.stored.entries
    last = context.count
    found = [item.index for item in context.stored.entries]
    assert found == list(range(last - count + 1, last + 1))


@behave.when("the last write is truncated at each of its bytes")
def step_truncate_last_write(context):
    context.log.close()
    path = context.files[-1]
    whole = path.read_bytes()
    context.found = []
    for size in range(context.offsets[-1], len(whole)):
        path.write_bytes(whole[:size])
        log = storage.LogStorage(folder=context.path / "log")
        count = len(log.stored().entries)
        log.write([persist(entries=(entry(5), entry(6)))])
        log.close()
        log = storage.LogStorage(folder=context.path / "log")
        context.found.append((count, len(log.stored().entries)))
        log.close()


@behave.then("4 entries are found each time and later writes succeed")
def step_repaired(context):
    assert len(context.found) > 50
    assert set(context.found) == {(4, 6)}, set(context.found)


@behave.when("each byte of the third write is damaged in turn")
def step_damage_third_write(context):
    context.log.close()
    path = context.files[-1]
    whole = path.read_bytes()
    context.open_errors = []
    for offset in range(context.offsets[2], context.offsets[3]):
        damaged = bytearray(whole)
        damaged[offset] ^= 0x41
        path.write_bytes(damaged)
        try:
            storage.LogStorage(folder=context.path / "log")
        except exceptions.CorruptLogError as error:
            context.open_errors.append(str(error))
        else:
            context.open_errors.append(f"byte {offset} was not detected")


@behave.then("opening fails each time with the file and the offset")
def step_open_fails_each_time(context):
    expected = f"{context.files[-1]} is damaged at offset {context.offsets[2]}"
    assert len(context.open_errors) > 50
    assert set(context.open_errors) == {expected}, set(context.open_errors)


@behave.when("the end of the first segment is truncated")
def step_truncate_first_segment(context):
    context.log.close()
    path = context.files[0]
    path.write_bytes(path.read_bytes()[:-5])
    context.damaged = path


@behave.when("a byte of the snapshot is damaged")
def step_damage_snapshot(context):
    context.log.close()
    path = context.path / "log" / storage.SNAPSHOT_NAME
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(data)
    context.damaged = path


@behave.then("opening fails with the name of that segment")
@behave.then("opening fails with the name of the snapshot")
def step_open_fails(context):
    try:
        storage.LogStorage(folder=context.path / "log")
    except exceptions.CorruptLogError as error:
        assert str(context.damaged) in str(error), error
        return
    raise AssertionError("the damage was not detected")


@behave.then("fewer segments are left than before")
def step_fewer_segments(context):
    left = list((context.path / "log").glob("*.log"))
    assert len(left) < len(context.files), left


@behave.when("the disk has space for only part of the next write")
def step_partial_space(context):
    real_write = os.write
    calls = []

    def write(descriptor, data):
        calls.append(len(data))
        if len(calls) == 1:
            return real_write(descriptor, data[:10])
        raise OSError(errno.ENOSPC, "No space left on device")

    context.batch = [persist(entries=(entry(6),))]
    with mock.patch.object(os, "write", write):
        try:
            context.log.write(context.batch)
        except exceptions.StorageError as error:
            context.error = error


@behave.then("the write fails with storage_full")
def step_storage_full(context):
    assert context.error.code == "storage_full"


@behave.then("with free space the same write succeeds")
def step_free_space(context):
    context.log.write(context.batch)


@behave.then("{count:d} entries are found after a restart")
def step_found_after_restart(context, count):
    assert len(reopen(context).entries) == count


class FullDisk:
    """Fails every call that may need space, from one of them on."""

    CALLS = ("open", "write", "fsync", "fdatasync", "replace", "unlink")

    def __init__(self, first):
        self.left = first
        self.patches = [
            mock.patch.object(os, name, self.fail_from(getattr(os, name)))
            for name in self.CALLS
        ]

    def fail_from(self, call):
        def called(*args, **options):
            self.left -= 1
            if self.left < 0:
                raise OSError(errno.ENOSPC, "No space left on device")
            return call(*args, **options)

        return called

    def __enter__(self):
        for patch in self.patches:
            patch.start()

    def __exit__(self, *_):
        for patch in self.patches:
            patch.stop()


@behave.when("the disk fills at each call in turn of a write with a snapshot")
def step_fills_at_each_call(context):
    context.outcomes = {}
    for first in itertools.count():
        folder = context.path / f"log-{first}"
        log = storage.LogStorage(folder=folder, segment_bytes=512)
        log.write(
            [persist(snapshot=INITIAL_SNAPSHOT, reset=True, ballot=BALLOT)]
        )
        for index in range(1, 11):
            log.write([persist(entries=(entry(index),))])
        batch = [
            persist(entries=(entry(11),)),
            persist(snapshot=snapshot(10, 3)),
            persist(entries=(entry(12),)),
        ]
        full = FullDisk(first)
        with full:
            codes = [write_code(log, batch) for _ in range(3)]
        codes += [write_code(log, batch)]
        codes += [write_code(log, [persist(entries=(entry(13),))])]
        log.close()
        try:
            stored = storage.LogStorage(folder=folder).stored()
            found = [item.index for item in stored.entries]
        except exceptions.StorageError as error:
            found = error.code
        context.outcomes[first] = (codes, found)
        if full.left >= 0:
            break


def write_code(log, batch):
    try:
        log.write(batch)
    except exceptions.StorageError as error:
        return error.code
    return ""


@behave.then("each time the write succeeds once there is room")
def step_succeeds_with_room(context):
    wrong = {
        first: codes
        for first, (codes, _) in context.outcomes.items()
        if codes[-2:] != ["", ""]
    }
    assert len(context.outcomes) > 10 and not wrong, wrong


@behave.then("{count:d} entries after the snapshot are found after a restart")
def step_found_after_full(context, count):
    expected = list(range(11, 11 + count))
    wrong = {
        first: found
        for first, (_, found) in context.outcomes.items()
        if found != expected
    }
    assert not wrong, wrong


@behave.when("a sync fails")
def step_sync_fails(context):
    context.codes = []
    failing = mock.patch.object(
        os, "fdatasync", side_effect=OSError(errno.EIO, "I/O error")
    )
    with failing:
        try_write(context)
    try_write(context)


def try_write(context):
    try:
        context.log.write([persist(entries=(entry(6),))])
        context.codes.append("")
    except exceptions.StorageError as error:
        context.codes.append(error.code)


@behave.then("that write and all later ones fail with storage_failed")
def step_writes_keep_failing(context):
    assert context.codes == ["storage_failed", "storage_failed"]


@behave.given("a data folder in use by a process")
def step_folder_in_use(context):
    context.lock = files.FolderLock(folder=context.path)
    context.identity = identity.IdentityFile(folder=context.path)


@behave.when("another process opens it")
def step_open_second(context):
    try:
        files.FolderLock(folder=context.path)
    except exceptions.StorageError as error:
        context.error = error


@behave.then("it fails with {code}")
def step_error_code(context, code):
    assert context.error.code == code


@behave.given("a data folder whose log was formed")
def step_formed(context):
    context.identity = identity.IdentityFile(folder=context.path)
    context.identity.mark_formed(GROUP.value)


@behave.when("the log is removed but not the identity")
def step_log_removed(context):
    reopened = identity.IdentityFile(folder=context.path)
    try:
        reopened.check(GROUP.value, formed=False)
    except exceptions.StorageError as error:
        context.error = error


@behave.when("the folder is replaced with an empty one")
def step_replaced(context):
    context.lock.release()
    shutil.rmtree(context.path)
    context.path.mkdir()


@behave.then("the host has another identity")
def step_new_identity(context):
    reopened = identity.IdentityFile(folder=context.path)
    assert reopened.host != context.identity.host
