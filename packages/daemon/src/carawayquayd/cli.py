"""Command line of the daemon and the gateway."""

from __future__ import annotations

import sys
from pathlib import Path

import curio
import fire

from carawayquay.errors import ListenError, SettingsError
from carawayquay.settings import load_settings
from carawayquay_gateway.app import run as run_gateway
from carawayquay_gateway.settings import load_gateway_settings
from carawayquay_wire.events import set_up_logging
from carawayquayd.app import Application

__all__ = ["check", "check_gateway", "gateway", "main", "run"]

_EXIT_FAILURE = 1
_EXIT_SETTINGS = 2


def run(settings: str) -> None:
    """Run the daemon of this entry VM until a stop signal arrives.

    :param settings: path of the INI file
    """
    loaded = load_settings(Path(settings))
    set_up_logging(loaded.log_level)
    curio.run(Application(loaded).run)


def gateway(settings: str) -> None:
    """Run the gateway on the users' platform until a stop signal arrives.

    :param settings: path of the gateway's INI file
    """
    run_gateway(settings)


def check_gateway(settings: str) -> None:
    """Check a gateway's settings file and report every problem in it.

    :param settings: path of the gateway's INI file
    """
    load_gateway_settings(Path(settings))
    print(f"{settings}: ok")


def check(settings: str) -> None:
    """Check a settings file and report every problem in it.

    :param settings: path of the INI file
    """
    load_settings(Path(settings))
    print(f"{settings}: ok")


def main() -> None:
    """Run the command in the arguments; exit 2 on invalid settings, 1 if a socket cannot listen."""
    try:
        commands = {
            "run": run,
            "check": check,
            "gateway": gateway,
            "check_gateway": check_gateway,
        }
        fire.Fire(commands, name="carawayquayd")
    except SettingsError as error:
        for problem in error.problems:
            print(f"carawayquayd: {problem}", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    except ListenError as error:
        print(f"carawayquayd: {error}", file=sys.stderr)
        sys.exit(_EXIT_FAILURE)


if __name__ == "__main__":
    main()
