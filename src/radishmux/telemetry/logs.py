"""Log lines on standard error, for state changes only.

Events that can occur with each request are metrics, not lines.
"""

from __future__ import annotations

import sys
from typing import IO, Any

import msgspec
from loguru import logger

from radishmux.settings.daemon import LogFormat, LogSettings

_TEXT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {message} {extra}\n"


def configure(
    settings: LogSettings,
    instance: str,
    region: str,
    stream: IO[str] | None = None,
) -> None:
    """Sends all log lines to standard error in the chosen form.

    Args:
        settings: Form and lowest level.
        instance: Recorded with each line.
        region: Recorded with each line.
        stream: Takes the lines in place of standard error.
    """
    logger.remove()
    logger.configure(extra={"instance": instance, "region": region})
    logger.add(
        stream or sys.stderr,
        level=settings.level,
        format=_FORMATS[settings.format],
        # Values of variables in tracebacks could include keys.
        diagnose=False,
        backtrace=False,
    )


def state_change(
    subject: str, state: str, level: str = "INFO", **fields: Any
) -> None:
    """Writes one line about a change of state.

    Args:
        subject: What changed, as in `peer montreal-a-1` or `shift blue`.
        state: The new state.
        level: DEBUG, INFO, WARNING or ERROR.
        fields: Causes and figures.
    """
    logger.bind(subject=subject, state=state, **fields).log(
        level, "{} is {}", subject, state
    )


def _json_line(record: Any) -> str:
    """Returns a format string whose only field is the finished line."""
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    error = record["exception"]
    if error is not None:
        line["error"] = f"{error.type.__name__}: {error.value}"
    record["line"] = msgspec.json.encode(line, enc_hook=str).decode()
    return "{line}\n"


_FORMATS: dict[LogFormat, Any] = {
    LogFormat.JSON: _json_line,
    LogFormat.TEXT: _TEXT,
}
