"""Relayed requests and outcomes keep every byte and every verdict."""

from __future__ import annotations

import pytest

from radishmux.dispatch.server_response import (
    NoResponse,
    NotSent,
    ServerResponse,
)
from radishmux.peer import messages, relay_codec
from radishmux.verdict import Verdict

BODIES = [b"", b"text", "é".encode(), bytes(range(256)) * 300]
HEADERS = [("x-name", "caf\xe9"), ("x-name", "second"), ("empty", "")]


def pass_on(message):
    encoded = relay_codec.encode_message("i1", 7, message)
    envelope = messages.decode(encoded)
    assert (envelope.sender, envelope.sender_incarnation) == ("i1", 7)
    return messages.unwrap(envelope.body)


@pytest.mark.parametrize("body", BODIES)
def test_request_keeps_its_bytes(body):
    request = messages.RelayRequest(
        method="POST",
        target="/p?q=%2f",
        headers=relay_codec.encode_headers(HEADERS),
        body=body,
    )
    read = pass_on(request)
    assert (read.method, read.target) == ("POST", "/p?q=%2f")
    assert relay_codec.decode_headers(read.headers) == HEADERS
    assert (read.body or b"") == body


@pytest.mark.parametrize("body", BODIES)
def test_response_keeps_its_bytes(body):
    response = ServerResponse(200, HEADERS, body)
    read = pass_on(relay_codec.encode_outcome(response, "s1"))
    decoded = relay_codec.decode_outcome(read)
    assert read.server == "s1"
    assert (decoded.status, decoded.headers) == (200, HEADERS)
    assert decoded.body == body


@pytest.mark.parametrize(
    "outcome",
    [
        NotSent("limited"),
        NoResponse("shed:503", Verdict.NOT_RUN),
        NoResponse("connection_broken", Verdict.MAY_HAVE_RUN),
    ],
)
def test_outcome_without_a_response_keeps_its_verdict(outcome):
    read = pass_on(relay_codec.encode_outcome(outcome, "s1"))
    decoded = relay_codec.decode_outcome(read)
    assert type(decoded) is type(outcome)
    assert (decoded.reason, decoded.verdict) == (
        outcome.reason,
        outcome.verdict,
    )


# A verdict that is not understood must not allow a second run.
@pytest.mark.parametrize("outcome", [None, "response", "unheard of"])
def test_unknown_outcome_may_have_run(outcome):
    read = pass_on(messages.RelayOutcome(outcome=outcome))
    decoded = relay_codec.decode_outcome(read)
    assert decoded.verdict is Verdict.MAY_HAVE_RUN
