"""The stored document of the configuration and its changes.

The stored document holds the configuration and the writer ids of its latest
versions. When the response to a write is lost, the writer finds out from these
ids whether its write took effect, even if another writer has changed the
document since.
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
# Enough for the writes of one minute at the target of 110,000 per day (76).
MAX_RECORDED_WRITES = 128
# Shorter than the timeout of the instances' reads, since a store that is too
# slow for their reads must not accept a write; see config/distribution.py.
CALL_TIMEOUT_S = 2.0
# Time for finding out whether a write without a response took effect; after
# that its result is reported as unknown.
RESOLVE_TIMEOUT_S = 10.0
_RETRY_PAUSE_S = 0.2


class InvalidConfiguration(Unavailable):
    """The configuration is invalid; `problems` lists the reasons."""

    __slots__ = ("problems",)

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = problems


class WriteRecord(msgspec.Struct, frozen=True, array_like=True):
    """A version and the id of the write that made it."""

    version: int
    writer: str


class StoredDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Document that is stored under `CONFIG_KEY`.

    Attributes:
        writes: The latest versions with their writers, oldest first, up to
            the version of `configuration`.
    """

    configuration: Configuration
    writes: list[WriteRecord] = []

    def wrote(self, version: int, writer: str) -> bool | None:
        """Whether `writer` wrote `version`; None if not recorded any more."""
        for write in self.writes:
            if write.version == version:
                return write.writer == writer
        return None


class _RawDocument(msgspec.Struct):
    """A stored document whose configuration is not validated yet."""

    configuration: dict[str, object]
    writes: list[WriteRecord] = []


def encode_document(document: StoredDocument) -> bytes:
    """Returns the JSON form that is stored."""
    return msgspec.json.encode(document)


def decode_document(value: bytes) -> StoredDocument | InvalidConfiguration:
    """Decodes a stored value.

    Checks only types and ranges; `load_document` also checks references.
    """
    try:
        return msgspec.json.decode(value, type=StoredDocument)
    except msgspec.DecodeError:
        return _describe_invalid(value)


def _describe_invalid(value: bytes) -> InvalidConfiguration:
    """Returns why a value does not decode, with the offending field."""
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
    """Decodes a stored value and checks its references."""
    document = decode_document(value)
    if isinstance(document, InvalidConfiguration):
        return document
    problems = validate_references(document.configuration)
    return InvalidConfiguration(problems) if problems else document


def peek_version(value: bytes) -> int:
    """Returns the version in a document that may be invalid, or 0."""
    try:
        raw = msgspec.json.decode(value, type=_RawDocument)
    except msgspec.DecodeError:
        return 0
    version = raw.configuration.get("version", 0)
    return version if isinstance(version, int) else 0


class ConfigWriter:
    """Changes the configuration in the store by compare-and-swap.

    Args:
        store: Store that holds the document.
        name: Name of the writer, such as a user name; part of the writer id.
        clock: Measures the time spent on a write without a response.
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

        If there is none, returns an empty document and revision 0.
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

        The version and writer that `change` returns are replaced.

        Returns:
            The accepted configuration; `Conflict` if another writer was first
            and the change had no effect; `InvalidConfiguration` if the result
            is invalid; `Unknown` if the response was lost and the store could
            not show whether the change took effect; otherwise `Unavailable`,
            without effect.
        """
        found = await self.read()
        if isinstance(found, Unavailable):
            return found
        document, revision = found
        proposed = self._next_document(document, change(document.configuration))
        problems = validate(proposed.configuration)
        if problems:
            return InvalidConfiguration(problems)
        value = encode_document(proposed)
        if len(value) > MAX_DOCUMENT_BYTES:
            allowed = f"at most {MAX_DOCUMENT_BYTES} bytes"
            problem = Problem("$", f"{len(value)} bytes", allowed)
            return InvalidConfiguration((problem,))
        return await self._write(proposed.configuration, value, revision)

    def _next_document(
        self, document: StoredDocument, changed: Configuration
    ) -> StoredDocument:
        version = document.configuration.version + 1
        writer = f"{self._name}/{uuid.uuid4().hex}"
        writes = [*document.writes, WriteRecord(version, writer)]
        return StoredDocument(
            configuration=msgspec.structs.replace(
                changed, version=version, writer=writer
            ),
            writes=writes[-MAX_RECORDED_WRITES:],
        )

    async def _write(
        self, proposed: Configuration, value: bytes, revision: int
    ) -> Configuration | Conflict | Unavailable:
        """Writes until it is known whether the value is in the store.

        After a lost response the document is read back first. The write is
        sent again only if the key still has the old revision. Then at most
        one of the two writes can take effect, and both have the same value.
        """
        deadline = self._clock.now() + RESOLVE_TIMEOUT_S
        answer = await self._send(value, revision)
        if isinstance(answer, Conflict):
            return await self._describe_conflict(answer)
        if isinstance(answer, Unavailable) and not isinstance(answer, Unknown):
            return answer
        while not isinstance(answer, Entry):
            resolved = await self._read_back(proposed, revision, deadline)
            if resolved is not None:
                return resolved
            answer = await self._send(value, revision)
        return proposed

    async def _send(
        self, value: bytes, revision: int
    ) -> Entry | Conflict | Unknown | Unavailable:
        return await self._store.compare_and_swap(
            self._key, revision, value, CALL_TIMEOUT_S
        )

    async def _describe_conflict(self, conflict: Conflict) -> Conflict:
        """Returns the conflict with the version and writer that was first."""
        found = await self.read()
        if isinstance(found, Unavailable):
            return conflict
        return _conflict_with(found[0].configuration)

    async def _read_back(
        self, proposed: Configuration, revision: int, deadline: float
    ) -> Configuration | Conflict | Unknown | None:
        """Finds out whether a write took effect.

        Returns:
            None if the write has not taken effect yet; it may be sent again.
        """
        while self._clock.now() < deadline:
            entry = await self._store.get(self._key, CALL_TIMEOUT_S)
            if isinstance(entry, Entry):
                if entry.revision <= revision:
                    await asyncio.sleep(_RETRY_PAUSE_S)
                    return None
                return _resolve(proposed, entry)
            if isinstance(entry, NotFound) and revision == 0:
                await asyncio.sleep(_RETRY_PAUSE_S)
                return None
            await asyncio.sleep(_RETRY_PAUSE_S)
        return Unknown(
            f"version {proposed.version} by {proposed.writer} may take effect"
        )


def _resolve(
    proposed: Configuration, entry: Entry
) -> Configuration | Conflict | Unknown:
    document = decode_document(entry.value)
    if isinstance(document, InvalidConfiguration):
        return Unknown(f"stored document cannot be read: {document.reason}")
    wrote = document.wrote(proposed.version, proposed.writer)
    if wrote is None:
        return Unknown(
            f"version {document.configuration.version} no longer names the"
            f" writer of version {proposed.version}"
        )
    if wrote:
        return proposed
    return _conflict_with(document.configuration)


def _conflict_with(current: Configuration) -> Conflict:
    return Conflict(
        f"version {current.version} by {current.writer} was written first"
    )
