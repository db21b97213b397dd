"""Structured logs over the standard library's logging: each line is an event name with fields.

A call at a disabled level costs one comparison.  `configure_plain` writes the lines without any further
library, which the platform's `run` line uses; `configure_structured` passes them to structlog, as JSON or for
a console.
"""

import logging
import sys

LEVELS = ("debug", "info", "warning", "error")
FORMATS = ("plain", "json", "console")


class EventLogger:
    """Logs events by their name (dotted, lower case) with fields."""

    __slots__ = ("_log",)

    def __init__(self, name: str):
        self._log = logging.getLogger(name)

    def _log_event(self, level: int, event: str, fields: dict, exc_info=None) -> None:
        if self._log.isEnabledFor(level):
            self._log.log(level, event, exc_info=exc_info, extra={"fields": fields})

    def debug(self, event: str, **fields) -> None:
        self._log_event(logging.DEBUG, event, fields)

    def info(self, event: str, **fields) -> None:
        self._log_event(logging.INFO, event, fields)

    def warning(self, event: str, **fields) -> None:
        self._log_event(logging.WARNING, event, fields)

    def error(self, event: str, **fields) -> None:
        self._log_event(logging.ERROR, event, fields)

    def exception(self, event: str, **fields) -> None:
        """Log an error with the exception that is being handled."""
        self._log_event(logging.ERROR, event, fields, exc_info=True)


def get(name: str) -> EventLogger:
    """The logger of a module."""
    return EventLogger(name)


class PlainFormatter(logging.Formatter):
    """Formats a record as `time logger event key=value ..`: one line, except for tracebacks."""

    def __init__(self):
        super().__init__("%(asctime)s %(name)s %(message)s")

    def formatMessage(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "fields", None) or {}
        return super().formatMessage(record) + "".join(f" {k}={v!r}" for k, v in fields.items())


def configure_plain(level: str = "info") -> None:
    """Log to standard error, in the plain format, as under the platform's `run` line."""
    _install(PlainFormatter(), level)


def configure_structured(log_format: str, level: str) -> None:
    """Log to standard error through structlog: `json` writes one object per line, `console` is for people.

    `plain` does not use structlog.  Raises ValueError for an unknown format or level.
    """
    if log_format not in FORMATS or level not in LEVELS:
        raise ValueError(f"unknown log format or level: {log_format!r}, {level!r}")
    if log_format == "plain":
        configure_plain(level)
        return
    import structlog

    def add_fields(_logger, _name, event):
        event.update(getattr(event["_record"], "fields", None) or {})
        return event

    if log_format == "json":
        renderers = [structlog.processors.format_exc_info, structlog.processors.JSONRenderer(default=repr)]
    else:
        renderers = [structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())]
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_logger_name,
            structlog.stdlib.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            add_fields,
        ],
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, *renderers],
    )
    _install(formatter, level)


def _install(formatter: logging.Formatter, level: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
