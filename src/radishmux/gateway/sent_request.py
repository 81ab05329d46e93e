"""A request at a backend server."""

from __future__ import annotations

from radishmux.gateway.sender import Attempt


class SentRequest:
    """What is needed of a request to record that its server has crashed.

    Unlike the attempt, it does not hold the request's body.

    Attributes:
        digest: The same for equal requests; see `request_digest`.
        service_digest: The same for equal requests to the service, or empty.
        subject: Service, customer and route, for the logs.
        server: The server.
        sent_at: Monotonic time at which the request was sent to it.
        is_on_trial: Whether the request runs on trial.
    """

    __slots__ = (
        "digest",
        "is_on_trial",
        "sent_at",
        "server",
        "service_digest",
        "subject",
    )

    def __init__(
        self, attempt: Attempt, sent_at: float, is_on_trial: bool
    ) -> None:
        self.server = attempt.choice.server
        service = self.server.entry.service
        subject = f"{service} {attempt.customer}".rstrip()
        self.subject = f"{subject} {attempt.route.name}"
        self.digest = attempt.digest
        self.service_digest = attempt.service_digest
        self.sent_at = sent_at
        self.is_on_trial = is_on_trial
