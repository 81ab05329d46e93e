"""Takes versions of the configuration from reads, watches and peers.

Makes no calls of its own; config/distribution.py brings the answers.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from loguru import logger

from radishmux.config.document import (
    InvalidConfiguration,
    StoredDocument,
    load_document,
    peek_version,
)
from radishmux.config.model import Configuration
from radishmux.config.state import ConfigState
from radishmux.config.sync_plan import ReadAnswer, SyncPlan
from radishmux.store.interface import Entry


class Contact(Protocol):
    """What this part needs of membership.view.MembershipView."""

    def config_versions(self) -> Mapping[str, int]:
        """Returns the configuration version of each live peer."""

    def set_config_version(self, version: int) -> None:
        """Sets the version in force here."""

    def record_store_contact(self, sent_at: float) -> None:
        """Notes an answer that confirms the version in force."""

    def record_store_response(self, sent_at: float) -> None:
        """Notes any answer of the store."""


class MetricsSink(Protocol):
    """Takes counters and gauges."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""


class ConfigIntake:
    """Puts valid higher versions in force and notes contact.

    Contact with the store is noted only when an answer shows that the
    version in force is the highest accepted one: a key that this instance
    admits then was not revoked before the read was sent.

    Attributes:
        body: Stored form of the version in force; peers ask for it.
        body_version: Version in `body`; 0: none.
        revision: Highest revision seen in the store.
    """

    def __init__(
        self,
        state: ConfigState,
        contact: Contact,
        plan: SyncPlan,
        metrics: MetricsSink,
    ) -> None:
        self.body = b""
        self.body_version = 0
        self.revision = 0
        self._state = state
        self._contact = contact
        self._plan = plan
        self._metrics = metrics
        # The latest refused value; it is read again until it is replaced.
        self._refused_body = b""

    def take_read(self, entry: Entry | None, sent_at: float) -> bool:
        """Takes the answer to a read; None: the store has no document.

        Returns:
            Whether the answer brought a higher version.
        """
        if entry is None:
            is_empty = self._state.current.version == 0
            answer = ReadAnswer.IN_FORCE if is_empty else ReadAnswer.OTHER
            self._note_answer(answer, sent_at)
            return False
        applied = self._take(entry.value, "store")
        self.revision = max(self.revision, entry.revision)
        self._note_answer(self._answer(entry.value), sent_at)
        return applied

    def take_event(self, entry: Entry) -> bool:
        """Takes an event of a watch.

        Events tell nothing about contact, since they may lag.

        Returns:
            Whether it brought a higher version.
        """
        # A deletion has revision 0; the version stays in force.
        if entry.revision <= self.revision:
            return False
        self.revision = entry.revision
        return self._take(entry.value, "store")

    def take_offer(self, body: bytes) -> bool:
        """Takes a peer's stored form; returns whether it is in force now."""
        return self._take(body, "peer")

    def is_refused(self, body: bytes) -> bool:
        """Whether `body` is the value that was refused last."""
        return bool(body) and body == self._refused_body

    def _answer(self, value: bytes) -> ReadAnswer:
        own = self._state.current.version
        if self.body_version and value == self.body:
            return ReadAnswer.IN_FORCE
        if not self.is_refused(value) or own == 0:
            return ReadAnswer.OTHER
        # A refused document was not accepted, but accepted ones may lie
        # between it and the version in force. Garbage has no version.
        follows = peek_version(value) in (0, own + 1)
        return ReadAnswer.IN_FORCE if follows else ReadAnswer.OTHER

    def _note_answer(self, answer: ReadAnswer, sent_at: float) -> None:
        own = self._state.current.version
        peers = self._contact.config_versions()
        if self._plan.confirms(answer, own, peers):
            self._contact.record_store_contact(sent_at)
        else:
            self._contact.record_store_response(sent_at)
        if answer is ReadAnswer.OTHER:
            self._metrics.count("config_rejected_total", reason="not_higher")

    def _take(self, value: bytes, source: str) -> bool:
        if value in (self.body, self._refused_body):
            return False
        document = load_document(value)
        if isinstance(document, InvalidConfiguration):
            self._refused_body = value
            self._metrics.count("config_rejected_total", reason="invalid")
            logger.error("configuration refused: {}", document.reason)
            return False
        return self._apply(document, value, source)

    def _apply(
        self, document: StoredDocument, value: bytes, source: str
    ) -> bool:
        configuration: Configuration = document.configuration
        version = configuration.version
        if not self._state.apply(configuration):
            return False
        self.body = value
        self.body_version = version
        self._contact.set_config_version(version)
        self._metrics.count("config_applied_total", source=source)
        self._metrics.set("config_version", version)
        logger.info("configuration {} in force, from {}", version, source)
        return True
