"""Applies versions of the configuration from reads, watches and peers.

This module makes no calls; config/distribution.py passes on the responses.
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


class ContactRecorder(Protocol):
    """The methods of MembershipView that record contact with the store."""

    def config_versions(self) -> Mapping[str, int]:
        """Returns the configuration version of each live peer."""

    def set_config_version(self, version: int) -> None:
        """Sets the version that this instance reports to its peers."""

    def record_store_contact(self, sent_at: float) -> None:
        """Records a response that confirms the version in force."""

    def record_store_response(self, sent_at: float) -> None:
        """Records any response of the store."""


class MetricsSink(Protocol):
    """Records counters and gauges."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""


class ConfigIntake:
    """Puts valid higher versions in force and records contact with the store.

    Contact is recorded only if a response shows that the version in force is
    the highest accepted one. A key that this instance admits then was not
    revoked before the read was sent.

    Attributes:
        body: Stored form of the version in force; sent to peers on request.
        body_version: Version of `body`; 0 if there is none.
        revision: Highest revision seen in the store.
    """

    def __init__(
        self,
        state: ConfigState,
        contact: ContactRecorder,
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
        # The latest invalid value. Reads return it until it is replaced in the
        # store; it is validated and logged only once.
        self._refused_body = b""

    def apply_read(self, entry: Entry | None, sent_at: float) -> bool:
        """Applies the response to a read.

        Args:
            entry: The stored document; None if the store has none.
            sent_at: Monotonic time at which the read was sent.

        Returns:
            Whether a higher version was put in force.
        """
        if entry is None:
            is_empty = self._state.current.version == 0
            answer = ReadAnswer.IN_FORCE if is_empty else ReadAnswer.OTHER
            self._record_answer(answer, sent_at)
            return False
        applied = self._apply_value(entry.value, "store")
        self.revision = max(self.revision, entry.revision)
        self._record_answer(self._classify(entry.value), sent_at)
        return applied

    def apply_event(self, entry: Entry) -> bool:
        """Applies an event of a watch.

        Events do not count as contact with the store, since they may lag.

        Returns:
            Whether a higher version was put in force.
        """
        # A deletion has revision 0 and leaves the version in force.
        if entry.revision <= self.revision:
            return False
        self.revision = entry.revision
        return self._apply_value(entry.value, "store")

    def apply_offer(self, body: bytes) -> bool:
        """Applies a document that a peer sent, in its stored form.

        Returns:
            Whether a higher version was put in force.
        """
        return self._apply_value(body, "peer")

    def is_refused(self, body: bytes) -> bool:
        """Whether `body` is the value that was last refused as invalid."""
        return bool(body) and body == self._refused_body

    def _classify(self, value: bytes) -> ReadAnswer:
        own = self._state.current.version
        if self.body_version and value == self.body:
            return ReadAnswer.IN_FORCE
        if not self.is_refused(value) or own == 0:
            return ReadAnswer.OTHER
        # A refused document does not supersede the version in force, but
        # accepted versions may lie between the two unless it directly follows.
        # A value that does not decode has version 0.
        follows = peek_version(value) in (0, own + 1)
        return ReadAnswer.IN_FORCE if follows else ReadAnswer.OTHER

    def _record_answer(self, answer: ReadAnswer, sent_at: float) -> None:
        own = self._state.current.version
        peers = self._contact.config_versions()
        if self._plan.record_read_answer(answer, own, peers):
            self._contact.record_store_contact(sent_at)
        else:
            self._contact.record_store_response(sent_at)
        if answer is ReadAnswer.OTHER:
            self._metrics.count("config_rejected_total", reason="not_higher")

    def _apply_value(self, value: bytes, source: str) -> bool:
        if value in (self.body, self._refused_body):
            return False
        document = load_document(value)
        if isinstance(document, InvalidConfiguration):
            self._refused_body = value
            self._metrics.count("config_rejected_total", reason="invalid")
            logger.error(
                "configuration from {} refused: {}", source, document.reason
            )
            return False
        return self._put_in_force(document, value, source)

    def _put_in_force(
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
