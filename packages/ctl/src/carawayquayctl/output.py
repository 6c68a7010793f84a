"""Output of the commands, as text or JSON, and their exit codes."""

from __future__ import annotations

import difflib
import enum
import json
import sys
from typing import Any

__all__ = ["ExitCode", "Output", "document_diff"]


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    OK = 0
    FAILURE = 1
    REFUSED = 2
    CONFLICT = 3
    UNKNOWN = 4


class Output:
    """Prints results to standard output and errors to standard error.

    :param as_json: whether to print JSON
    """

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json

    def show(self, value: Any, lines: list[str]) -> None:
        """Print a result.

        :param value: the result as a JSON value
        :param lines: the same result as lines of text
        """
        if self._as_json:
            print(json.dumps(value, indent=2, sort_keys=True))
        else:
            print("\n".join(lines))

    def fail(self, code: ExitCode, problems: list[str]) -> None:
        """Print the problems that made a command fail.

        :param code: exit code, included in the JSON output
        """
        if self._as_json:
            print(json.dumps({"exit": code.value, "problems": problems}, indent=2))
        for problem in problems:
            print(f"carawayquayctl: {problem}", file=sys.stderr)


def document_diff(before: object, after: object, names: tuple[str, str]) -> list[str]:
    """Return the unified diff of two documents, empty if they are equal.

    :param names: headers of the old and the new side
    """
    left = json.dumps(before, indent=2, sort_keys=True).splitlines()
    right = json.dumps(after, indent=2, sort_keys=True).splitlines()
    return list(difflib.unified_diff(left, right, *names, lineterm=""))
