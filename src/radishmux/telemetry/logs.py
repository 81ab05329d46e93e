"""Structured log lines on standard error, for changes of state only.

Events that can occur with each request are counted in metrics instead, so
that the log does not grow with the traffic.
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
    """Configures loguru to write all log lines to standard error.

    Args:
        settings: Format and minimum level.
        instance: Name of the instance, added to each line.
        region: Region of the instance, added to each line.
        stream: Stream to write to instead of standard error.
    """
    logger.remove()
    logger.configure(extra={"instance": instance, "region": region})
    logger.add(
        stream or sys.stderr,
        level=settings.level,
        format=_FORMATS[settings.format],
        # Tracebacks with the values of variables could contain keys.
        diagnose=False,
        backtrace=False,
    )


def state_change(
    subject: str, state: str, level: str = "INFO", **fields: Any
) -> None:
    """Logs a change of state.

    Args:
        subject: What changed, for example `peer montreal-a-1` or `shift blue`.
        state: The new state.
        level: DEBUG, INFO, WARNING or ERROR.
        fields: Further fields of the line, such as cause and numbers.
    """
    logger.bind(subject=subject, state=state, **fields).log(
        level, "{} is {}", subject, state
    )


def _json_line(record: Any) -> str:
    """Returns a format string whose only field is the encoded line.

    Braces in the line itself are therefore not formatted again by loguru.
    """
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
