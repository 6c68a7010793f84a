"""Structured logging: named events as lines of key=value pairs."""

from __future__ import annotations

import enum
import re
import sys
from typing import TYPE_CHECKING, Any

import logbook

if TYPE_CHECKING:
    from carawayquay_wire.log_writer import LogWriter

__all__ = ["Event", "EventLog", "format_fields", "set_up_bounded_logging", "set_up_logging"]


class Event(enum.Enum):
    """Names of the events that an :class:`EventLog` writes."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    FAILED = "failed"
    BLOCKS_ADOPTED = "blocks-adopted"
    BLOCKS_REFUSED = "blocks-refused"
    CONNECTION_REFUSED = "connection-refused"
    CLIENTS_LIMITED = "clients-limited"
    ACCEPT_FAILED = "accept-failed"
    OBJECT_ADOPTED = "object-adopted"
    OBJECT_REFUSED = "object-refused"
    PART_NOT_UNDERSTOOD = "part-not-understood"
    PULL_FAILED = "pull-failed"
    WOKEN = "woken"
    LOOP_LATE = "loop-late"
    STORE_LOST = "store-lost"
    STORE_FOUND = "store-found"
    CONNECTION_SILENT = "connection-silent"
    WATCH_MISSED_CHANGE = "watch-missed-change"
    STORE_RESTORED = "store-restored"
    KNOWLEDGE_OUTDATED = "knowledge-outdated"
    KNOWLEDGE_CONFIRMED = "knowledge-confirmed"
    REPLICA_RESTORED = "replica-restored"
    OBJECT_KEPT = "object-kept"
    OBJECT_WITHHELD = "object-withheld"
    OBJECT_REWRITTEN = "object-rewritten"
    ENTRY_REWRITTEN = "entry-rewritten"
    LISTING_PASSED_OVER = "listing-passed-over"
    OBJECT_PASSED_OVER = "object-passed-over"
    LINK_BROKEN = "link-broken"
    LINK_SILENT = "link-silent"
    HANDLER_FAILED = "handler-failed"
    PEER_MISPLACED = "peer-misplaced"
    TARGET_LOST = "target-lost"
    TARGET_FOUND = "target-found"
    TARGET_LIMITED = "target-limited"
    TARGET_LIMIT_ENDED = "target-limit-ended"
    LIMIT_NOT_UNDERSTOOD = "limit-not-understood"
    ORGANISATION_LIMITED = "organisation-limited"
    ORGANISATION_LIMIT_ENDED = "organisation-limit-ended"
    QUOTA_COORDINATOR_CHANGED = "quota-coordinator-changed"
    QUOTAS_UNCOORDINATED = "quotas-uncoordinated"
    TARGETS_UNREACHABLE = "targets-unreachable"
    TARGETS_REACHED = "targets-reached"
    PEER_REFUSED = "peer-refused"
    PEER_SERVED = "peer-served"
    REQUEST_QUARANTINED = "request-quarantined"
    SHARD_TAKEN = "shard-taken"
    SHARD_SEALED = "shard-sealed"
    SHARD_REFILLED = "shard-refilled"
    SHARD_MAP_REFUSED = "shard-map-refused"
    SHARD_MAP_UNWRITTEN = "shard-map-unwritten"
    REQUEST_ANSWERED = "request-answered"
    REQUEST_REFUSED = "request-refused"
    REQUEST_FAILED = "request-failed"
    REQUEST_RETRIED = "request-retried"
    REQUEST_LEFT = "request-left"
    ANSWER_UNDELIVERED = "answer-undelivered"
    EVACUATION_STARTED = "evacuation-started"
    EVACUATION_ENDED = "evacuation-ended"
    PEER_FOUND = "peer-found"
    PEER_LOST = "peer-lost"
    DOMAIN_FOUND = "domain-found"
    DOMAIN_LOST = "domain-lost"
    RELAYS_CHANGED = "relays-changed"
    REPORT_REFUSED = "report-refused"
    SETTINGS_RELOADED = "settings-reloaded"
    SETTINGS_REFUSED = "settings-refused"
    ENTRY_UNWRITTEN = "entry-unwritten"
    SHIFT_STARTED = "shift-started"
    SHIFT_ENDED = "shift-ended"


class EventLog:
    """Logs the events of one module.

    :param name: the value of ``logger=`` in its lines
    """

    def __init__(self, name: str) -> None:
        self._logger = logbook.Logger(name)

    def debug(self, event: Event, **fields: Any) -> None:
        """Log an event that serves debugging only."""
        self._logger.debug(format_fields(event, fields))

    def info(self, event: Event, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._logger.info(format_fields(event, fields))

    def warning(self, event: Event, **fields: Any) -> None:
        """Log an event that may need an operator's attention."""
        self._logger.warning(format_fields(event, fields))

    def error(self, event: Event, **fields: Any) -> None:
        """Log a fault of this process, with the exception that is being handled, if any."""
        if sys.exc_info()[1] is not None:
            fields["error"] = repr(sys.exc_info()[1])
        self._logger.error(format_fields(event, fields))


def format_fields(event: Event, fields: dict[str, Any]) -> str:
    """Format an event and its fields as one line of key=value pairs.

    >>> format_fields(Event.STARTED, {"vm": "puget-a-1", "reason": "two words"})
    'event=started vm=puget-a-1 reason="two words"'
    """
    pairs = [f"event={event.value}"]
    pairs += [f"{key}={_quote_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


#: Matches values that are written without quotes.
_UNQUOTED_VALUE = re.compile(r'[^ "=\n\r]+')

_TEMPLATE = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "logger={record.channel} {record.message}"
)


def set_up_logging(level: str) -> None:
    """Write log lines of a level and above to standard error.

    :param level: the name of a level, such as ``INFO``
    """
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.format_string = _TEMPLATE
    handler.push_application()


def set_up_bounded_logging(level: str, output: LogWriter) -> None:
    """Write log lines of a level and above through a writer that never blocks.

    :param level: the name of a level, such as ``INFO``
    :param output: queues the lines, and drops those over its limits
    """
    _LogWriterHandler(output, level).push_application()


class _LogWriterHandler(logbook.Handler):
    """Formats log records and passes them to a :class:`LogWriter`."""

    def __init__(self, output: LogWriter, level: str) -> None:
        super().__init__(level=level)
        self._output = output

    def emit(self, record: logbook.LogRecord) -> None:
        time = record.time
        self._output.write(
            f"time={time:%Y-%m-%dT%H:%M:%S}.{time.microsecond // 1000:03d}Z "
            f"level={record.level_name} logger={record.channel} {record.message}"
        )


def _quote_value(value: Any) -> str:
    text = value if isinstance(value, str) else str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    escaped = (
        text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    )
    return f'"{escaped}"'
