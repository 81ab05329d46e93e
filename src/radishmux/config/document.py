"""The configuration as a value in the store, and how it is changed.

The stored document holds the configuration and the writer ids of its latest
versions. The ids tell a writer whose answer was lost whether its write took
effect, also when another writer has changed the document since.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable

import msgspec

from radishmux.clock import Clock, SystemClock
from radishmux.config.model import Configuration
from radishmux.config.validation import (
    Problem,
    decode_configuration,
    validate,
    validate_references,
)
from radishmux.outcome import Conflict, NotFound, Unavailable, Unknown
from radishmux.store.interface import Entry, Store

CONFIG_KEY = "radishmux/config"
# The store's limit for one value, 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000
# Enough for the writes of one minute at the target of 110,000 a day (76).
KEPT_WRITERS = 128
# Shorter than the timeout of the instances' reads: a store that is too slow
# for their reads must not accept a write, see config/distribution.py.
CALL_TIMEOUT_S = 2.0
# How long a lost answer is looked for before it is reported as unknown.
RESOLVE_S = 10.0
_RETRY_PAUSE_S = 0.2


class InvalidConfiguration(Unavailable):
    """The configuration is refused; `problems` tells why."""

    __slots__ = ("problems",)

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = problems


class WriteRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who wrote a version."""

    version: int
    writer: str


class StoredDocument(msgspec.Struct, frozen=True, kw_only=True):
    """What stands under `CONFIG_KEY`.

    Attributes:
        writes: The latest versions with their writers, oldest first, up to
            the version of `configuration`.
    """

    configuration: Configuration
    writes: list[WriteRecord] = []

    def wrote(self, version: int, writer: str) -> bool | None:
        """Whether `writer` wrote `version`; None: not known."""
        for write in self.writes:
            if write.version == version:
                return write.writer == writer
        return None


class _RawDocument(msgspec.Struct):
    """A stored document whose configuration is not checked yet."""

    configuration: dict[str, object]
    writes: list[WriteRecord] = []


def encode_document(document: StoredDocument) -> bytes:
    """Returns the stored form."""
    return msgspec.json.encode(document)


def decode_document(value: bytes) -> StoredDocument | InvalidConfiguration:
    """Returns the document in a stored value.

    Only types and ranges are checked; `load_document` checks references too.
    """
    try:
        return msgspec.json.decode(value, type=StoredDocument)
    except msgspec.DecodeError:
        return _describe(value)


def _describe(value: bytes) -> InvalidConfiguration:
    """Returns why a value does not decode, with the offending part."""
    try:
        raw = msgspec.json.decode(value, type=_RawDocument)
    except msgspec.DecodeError as error:
        problem = Problem("$", f"{len(value)} bytes", f"a document: {error}")
        return InvalidConfiguration((problem,))
    configuration = decode_configuration(raw.configuration)
    if isinstance(configuration, Problem):
        return InvalidConfiguration((configuration,))
    problem = Problem("$", f"{len(value)} bytes", "a document")
    return InvalidConfiguration((problem,))


def load_document(value: bytes) -> StoredDocument | InvalidConfiguration:
    """Returns the document in a stored value after all checks."""
    document = decode_document(value)
    if isinstance(document, InvalidConfiguration):
        return document
    problems = validate_references(document.configuration)
    return InvalidConfiguration(problems) if problems else document


def peek_version(value: bytes) -> int:
    """Returns the version of a document that may be invalid; 0: none."""
    try:
        raw = msgspec.json.decode(value, type=_RawDocument)
    except msgspec.DecodeError:
        return 0
    version = raw.configuration.get("version", 0)
    return version if isinstance(version, int) else 0


class ConfigWriter:
    """Changes the configuration in the store by compare-and-swap.

    Args:
        store: Where the document is kept.
        name: Who writes, for the record, such as a user name.
        clock: Measures how long a lost answer is looked for.
        key: Key of the document.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        clock: Clock | None = None,
        key: str = CONFIG_KEY,
    ) -> None:
        self._store = store
        self._name = name
        self._clock = clock or SystemClock()
        self._key = key

    async def read(
        self,
    ) -> tuple[StoredDocument, int] | Unavailable | InvalidConfiguration:
        """Returns the stored document and its revision.

        An absent document is an empty one with revision 0.
        """
        entry = await self._store.get(self._key, CALL_TIMEOUT_S)
        if isinstance(entry, NotFound):
            return StoredDocument(configuration=Configuration()), 0
        if isinstance(entry, Unavailable):
            return entry
        document = decode_document(entry.value)
        if isinstance(document, InvalidConfiguration):
            return document
        return document, entry.revision

    async def update(
        self, change: Callable[[Configuration], Configuration]
    ) -> Configuration | Conflict | Unavailable | InvalidConfiguration:
        """Applies `change` to the stored configuration once.

        Version and writer are set here, whatever `change` returns.

        Returns:
            The accepted configuration; `Conflict` when another writer was
            first and the change had no effect; `InvalidConfiguration` when
            the result is not allowed; `Unknown` when the answer was lost and
            the store could not say whether the change took effect; otherwise
            `Unavailable`, without effect.
        """
        found = await self.read()
        if isinstance(found, Unavailable):
            return found
        document, revision = found
        wanted = self._next(document, change(document.configuration))
        problems = validate(wanted.configuration)
        if problems:
            return InvalidConfiguration(problems)
        value = encode_document(wanted)
        if len(value) > MAX_DOCUMENT_BYTES:
            allowed = f"at most {MAX_DOCUMENT_BYTES} bytes"
            problem = Problem("$", f"{len(value)} bytes", allowed)
            return InvalidConfiguration((problem,))
        return await self._write(wanted.configuration, value, revision)

    def _next(
        self, document: StoredDocument, changed: Configuration
    ) -> StoredDocument:
        version = document.configuration.version + 1
        writer = f"{self._name}/{uuid.uuid4().hex}"
        writes = [*document.writes, WriteRecord(version, writer)]
        return StoredDocument(
            configuration=msgspec.structs.replace(
                changed, version=version, writer=writer
            ),
            writes=writes[-KEPT_WRITERS:],
        )

    async def _write(
        self, wanted: Configuration, value: bytes, revision: int
    ) -> Configuration | Conflict | Unavailable:
        """Writes until it is known whether the value is in the store.

        After a lost answer the document is read back first. The write is
        sent again only when the key still has the old revision: then at most
        one of the two can take effect, and both hold the same value.
        """
        deadline = self._clock.now() + RESOLVE_S
        answer = await self._send(value, revision)
        if isinstance(answer, Conflict):
            return await self._lost_to(answer)
        if isinstance(answer, Unavailable) and not isinstance(answer, Unknown):
            return answer
        while not isinstance(answer, Entry):
            settled = await self._read_back(wanted, revision, deadline)
            if settled is not None:
                return settled
            answer = await self._send(value, revision)
        return wanted

    async def _send(
        self, value: bytes, revision: int
    ) -> Entry | Conflict | Unknown | Unavailable:
        return await self._store.compare_and_swap(
            self._key, revision, value, CALL_TIMEOUT_S
        )

    async def _lost_to(self, conflict: Conflict) -> Conflict:
        """Returns the conflict with the version that was first."""
        found = await self.read()
        if isinstance(found, Unavailable):
            return conflict
        return _conflict_with(found[0].configuration)

    async def _read_back(
        self, wanted: Configuration, revision: int, deadline: float
    ) -> Configuration | Conflict | Unknown | None:
        """Finds out what became of a write; None: nothing yet."""
        while self._clock.now() < deadline:
            entry = await self._store.get(self._key, CALL_TIMEOUT_S)
            if isinstance(entry, Entry):
                if entry.revision <= revision:
                    await asyncio.sleep(_RETRY_PAUSE_S)
                    return None
                return _settle(wanted, entry)
            if isinstance(entry, NotFound) and revision == 0:
                await asyncio.sleep(_RETRY_PAUSE_S)
                return None
            await asyncio.sleep(_RETRY_PAUSE_S)
        return Unknown(
            f"version {wanted.version} by {wanted.writer} may take effect"
        )


def _settle(
    wanted: Configuration, entry: Entry
) -> Configuration | Conflict | Unknown:
    document = decode_document(entry.value)
    if isinstance(document, InvalidConfiguration):
        return Unknown(f"stored document cannot be read: {document.reason}")
    wrote = document.wrote(wanted.version, wanted.writer)
    if wrote is None:
        return Unknown(
            f"version {document.configuration.version} no longer names the"
            f" writer of version {wanted.version}"
        )
    if wrote:
        return wanted
    return _conflict_with(document.configuration)


def _conflict_with(current: Configuration) -> Conflict:
    return Conflict(
        f"version {current.version} by {current.writer} was written first"
    )
