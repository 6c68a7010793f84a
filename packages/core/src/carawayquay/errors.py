"""The errors that carawayquay raises, and the HTTP answer to each kind of refusal."""

from __future__ import annotations

import enum

import attrs

__all__ = [
    "ANSWERS",
    "Answer",
    "BlockMapError",
    "CarawayquayError",
    "ConflictError",
    "DocumentError",
    "ErrorKind",
    "FrameError",
    "HistoryLostError",
    "LinkError",
    "ListenError",
    "ObjectError",
    "Outcome",
    "RequestError",
    "SettingsError",
    "SilentConnectionError",
    "StoreError",
    "StoreUnreachableError",
    "UnconfirmedWriteError",
]


class Outcome(enum.Enum):
    """Whether a refused request was certainly not run."""

    NOT_RUN = "not-run"
    UNKNOWN = "outcome-unknown"


class ErrorKind(enum.Enum):
    """The reasons for which a caller's request is refused."""

    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    SLOW_REQUEST = "slow-request"
    UNKNOWN_PATH = "unknown-path"
    UNKNOWN_SERVICE = "unknown-service"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    KEY_REQUIRED = "key-required"
    KEY_INVALID = "key-invalid"
    KEY_REUSED = "key-reused"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_UNDECIDED = "key-undecided"
    SHARD_UNAVAILABLE = "shard-unavailable"
    SHARD_UNREACHABLE = "shard-unreachable"
    OVERLOADED = "overloaded"
    CAP_REACHED = "cap-reached"
    NO_TARGET = "no-target"
    TARGET_LIMITED = "target-limited"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"
    UNCONFIGURED = "unconfigured"
    UNKNOWN_ROUTE = "unknown-route"
    UNREAD_ROUTE = "unread-route"
    UNKNOWN_KEY = "unknown-key"
    UNREAD_ORGANISATION = "unread-organisation"
    QUOTA_EXCEEDED = "quota-exceeded"
    REGIONS_EXCLUDED = "regions-excluded"
    CRASHES_TARGETS = "crashes-targets"
    TIMED_OUT_UNSENT = "timed-out-unsent"
    TARGET_FAILED = "target-failed"
    TARGET_TIMEOUT = "target-timeout"
    ANSWER_TOO_LARGE = "answer-too-large"
    ANSWER_LOST = "answer-lost"
    INTERNAL = "internal"


@attrs.frozen
class Answer:
    """The HTTP answer to one kind of refusal.

    :param status: HTTP status
    :param outcome: whether the request was certainly not run
    :param retryable: whether the same request may succeed on a retry
    """

    status: int
    outcome: Outcome
    retryable: bool = False


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED: Answer(400, Outcome.NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Outcome.NOT_RUN),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, Outcome.NOT_RUN),
    ErrorKind.SLOW_REQUEST: Answer(408, Outcome.NOT_RUN, retryable=True),
    ErrorKind.UNKNOWN_PATH: Answer(404, Outcome.NOT_RUN),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Outcome.NOT_RUN),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, Outcome.NOT_RUN),
    ErrorKind.KEY_REQUIRED: Answer(428, Outcome.NOT_RUN),
    ErrorKind.KEY_INVALID: Answer(400, Outcome.NOT_RUN),
    ErrorKind.KEY_REUSED: Answer(422, Outcome.NOT_RUN),
    ErrorKind.KEY_IN_PROGRESS: Answer(409, Outcome.UNKNOWN, retryable=True),
    ErrorKind.KEY_UNDECIDED: Answer(409, Outcome.UNKNOWN),
    ErrorKind.SHARD_UNAVAILABLE: Answer(503, Outcome.NOT_RUN, retryable=True),
    ErrorKind.SHARD_UNREACHABLE: Answer(503, Outcome.UNKNOWN, retryable=True),
    ErrorKind.OVERLOADED: Answer(503, Outcome.NOT_RUN, retryable=True),
    ErrorKind.CAP_REACHED: Answer(503, Outcome.NOT_RUN, retryable=True),
    ErrorKind.NO_TARGET: Answer(503, Outcome.NOT_RUN, retryable=True),
    ErrorKind.TARGET_LIMITED: Answer(503, Outcome.NOT_RUN, retryable=True),
    ErrorKind.DEADLINE_TOO_SHORT: Answer(504, Outcome.NOT_RUN),
    ErrorKind.QUARANTINED: Answer(422, Outcome.NOT_RUN),
    ErrorKind.STOPPING: Answer(503, Outcome.NOT_RUN, retryable=True),
    ErrorKind.UNCONFIGURED: Answer(503, Outcome.NOT_RUN, retryable=True),
    ErrorKind.UNKNOWN_ROUTE: Answer(404, Outcome.NOT_RUN),
    ErrorKind.UNREAD_ROUTE: Answer(503, Outcome.NOT_RUN, retryable=True),
    ErrorKind.UNKNOWN_KEY: Answer(401, Outcome.NOT_RUN),
    ErrorKind.UNREAD_ORGANISATION: Answer(503, Outcome.NOT_RUN, retryable=True),
    ErrorKind.QUOTA_EXCEEDED: Answer(429, Outcome.NOT_RUN, retryable=True),
    ErrorKind.REGIONS_EXCLUDED: Answer(503, Outcome.NOT_RUN),
    ErrorKind.CRASHES_TARGETS: Answer(503, Outcome.NOT_RUN),
    ErrorKind.TIMED_OUT_UNSENT: Answer(503, Outcome.NOT_RUN, retryable=True),
    ErrorKind.TARGET_FAILED: Answer(502, Outcome.UNKNOWN),
    ErrorKind.TARGET_TIMEOUT: Answer(504, Outcome.UNKNOWN),
    ErrorKind.ANSWER_TOO_LARGE: Answer(502, Outcome.UNKNOWN),
    ErrorKind.ANSWER_LOST: Answer(502, Outcome.UNKNOWN),
    ErrorKind.INTERNAL: Answer(500, Outcome.UNKNOWN),
}


class CarawayquayError(Exception):
    """Base class of all errors that carawayquay raises."""


class RequestError(CarawayquayError):
    """A caller's request is refused.

    :param kind: reason of the refusal
    :param detail: description for the caller, with the names of the things concerned
    """

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail

    @property
    def answer(self) -> Answer:
        """The HTTP answer to this refusal."""
        return ANSWERS[self.kind]

    @property
    def not_run(self) -> bool:
        """Whether the request was certainly not run."""
        return self.answer.outcome is Outcome.NOT_RUN


class ObjectError(CarawayquayError):
    """An object of the store is invalid."""


class _ProblemsError(CarawayquayError):
    """Some text is invalid.

    :param problems: one message for each violated rule
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class DocumentError(_ProblemsError, ObjectError):
    """A service's document is invalid."""


class SettingsError(_ProblemsError):
    """A settings file is invalid."""


class BlockMapError(CarawayquayError):
    """The index or a chunk of the block map is invalid."""


class FrameError(CarawayquayError):
    """A frame from another process is malformed, too large or of an unknown kind."""


class LinkError(CarawayquayError):
    """A connection to another entry VM failed or timed out.

    :param sent: whether any part of the message may have reached the peer
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class ListenError(CarawayquayError):
    """A listening socket could not be opened."""


class StoreError(CarawayquayError):
    """The platform's object API rejected a call or could not be reached."""


class StoreUnreachableError(StoreError):
    """No connection to the store could be opened."""


class SilentConnectionError(StoreError):
    """A connection to the store that had answered before did not answer in time."""


class ResponseTooLargeError(StoreError):
    """A response of the store exceeded the limit of its size."""


class HistoryLostError(StoreError):
    """The revision from which to watch has been compacted away in the store."""


class ConflictError(StoreError):
    """A conditional write was based on a version that is no longer current."""


class UnconfirmedWriteError(StoreError):
    """The answer to a write was lost, so that the write may have taken effect."""
