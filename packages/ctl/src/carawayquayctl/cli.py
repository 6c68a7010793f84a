"""Commands of ``carawayquayctl``."""

from __future__ import annotations

import json
import sys
import warnings
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import attrs
import curio
import fire

from carawayquay.changes import DrainEdit
from carawayquay.documents import parse_document
from carawayquay.errors import (
    CarawayquayError,
    ConflictError,
    DocumentError,
    SettingsError,
    StoreError,
)
from carawayquay.settings import load_settings
from carawayquay_wire.store import StoreClient
from carawayquayctl.changes import ConcurrentChangeError, DocumentStore, WriteResult
from carawayquayctl.output import ExitCode, Output, document_diff
from carawayquayctl.settings import OperatorSettings, load_operator_settings
from carawayquayctl.status import AdminClient, UnreachableError, drain_progress, service_status

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["Commands", "main"]


class Commands:
    """Change the documents of services and show their state on the entry VMs.

    Exit codes: 0 done; 1 failed, or a check found a difference or a VM that is behind; 2 refused
    because a document, a setting or an argument is invalid; 3 another change was written first;
    4 the store or an entry VM did not answer, or the outcome is unknown.
    """

    def __init__(
        self, settings: str | None = None, store: str | None = None, json: bool = False
    ) -> None:
        """Set the flags that all commands share.

        :param settings: INI file with the addresses; default carawayquayctl.ini in the working
            directory
        :param store: host:port of the platform's object API; overrides the settings file
        :param json: print JSON instead of text
        """
        self._settings_path = settings
        self._store_address = store
        self._output = Output(as_json=bool(json))

    def validate(self, document: str) -> None:
        """Validate a document file and report every problem.

        :param document: path of the JSON file
        """
        checked = parse_document(_read_json(document))
        self._output.show({"service": checked.service, "ok": True}, [f"{document}: ok"])

    def check(self, daemon_settings: str) -> None:
        """Validate the settings file of a daemon and report every problem.

        :param daemon_settings: path of the INI file
        """
        settings = load_settings(Path(str(daemon_settings)))
        self._output.show({"vm": settings.name, "ok": True}, [f"{daemon_settings}: ok"])

    def apply(self, document: str, replaces: int | None = None) -> None:
        """Write a document to the store if the stored version is the expected one.

        :param document: path of the JSON file
        :param replaces: version that must be stored, 0 for a new service; default the current one
        """
        value = _read_json(document)
        parse_document(value)
        self._show_write_result(
            self._with_documents(lambda documents: documents.apply(value, replaces))
        )

    def diff(self, document: str) -> None:
        """Show the differences between the stored document and a file; exit 1 if there are any.

        :param document: path of the JSON file
        """
        value = _read_json(document)
        service = parse_document(value).service
        found = self._with_documents(lambda documents: documents.get(service))
        names = (f"{service} version {found.version}", str(document))
        lines = document_diff(found.document or {}, value, names)
        result = {"service": service, "version": found.version, "diff": lines}
        self._output.show(result, lines or [f"{document}: same as version {found.version}"])
        if lines:
            sys.exit(ExitCode.FAILURE)

    def show(self, service: str) -> None:
        """Show the stored document of a service with its version and change id.

        :param service: name of the service
        """
        found = self._with_documents(lambda documents: documents.get_existing(str(service)))
        head = f"# version {found.version}, change {found.change or 'without an id'}"
        body = json.dumps(found.document, indent=2)
        self._output.show(attrs.asdict(found), [head, body])

    def drain(self, place: str, service: str) -> None:
        """Start the drain of a region, a failure domain or a target.

        :param place: name of the region, the failure domain or the target
        :param service: name of the service whose document is changed
        """
        self._write_drain(service, DrainEdit(str(place), drained=True))

    def undrain(self, place: str, service: str) -> None:
        """Lift the drain of a region, a failure domain or a target.

        :param place: name of the region, the failure domain or the target
        :param service: name of the service whose document is changed
        """
        self._write_drain(service, DrainEdit(str(place), drained=False))

    def status(self, service: str | None = None) -> None:
        """Show the versions in force on the entry VMs and the progress of drains.

        Exits 1 if an entry VM is behind or refuses a version, 4 if the store or a VM does not
        answer.

        :param service: name of the service to show; default all
        """
        value, lines, code = curio.run(self._status, None if service is None else str(service))
        self._output.show(value, lines)
        sys.exit(code)

    def explain(self, service: str, client: str, vm: str | None = None) -> None:
        """Show how an entry VM would route a client's requests, and why.

        :param service: name of the service
        :param client: IP address of the client
        :param vm: name or administration address of the entry VM to query; default the first one
            that answers
        """
        value = curio.run(self._explain, str(service), str(client), vm)
        self._output.show(value, json.dumps(value, indent=2).splitlines())

    def explain_request(
        self, vm: str, host: str, path: str, key: str = "", organisation: str = ""
    ) -> None:
        """Show where a gateway would send a request now, and why, without sending it.

        :param vm: administration address of the entry VM
        :param host: host of the request
        :param path: path of the request
        :param key: affinity key of the request's object
        :param organisation: name of the organisation that sends it
        """
        fields = {"host": host, "path": path, "object": key, "organisation": organisation}
        query = urlencode({name: str(value) for name, value in fields.items() if str(value)})

        async def fetch_explanation(admin_client: AdminClient) -> Any:
            return await admin_client.get(str(vm), f"/explain?{query}")

        value = curio.run(self._with_admin_client, fetch_explanation)
        self._output.show(value, json.dumps(value, indent=2).splitlines())

    def dump(self, vm: str) -> None:
        """Show the state dump of one entry VM.

        :param vm: name or administration address of the entry VM
        """

        async def fetch_state(admin_client: AdminClient) -> Any:
            return await admin_client.get(str(vm), "/state")

        value = curio.run(self._with_admin_client, fetch_state)
        self._output.show(value, json.dumps(value, indent=2).splitlines())

    def _load_settings(self) -> OperatorSettings:
        return load_operator_settings(self._settings_path, self._store_address)

    def _with_documents(self, query: Callable[[DocumentStore], Awaitable[Any]]) -> Any:
        settings = self._load_settings()

        async def run_query() -> Any:
            store = StoreClient(settings.require_store(), settings.timeout)
            try:
                return await query(DocumentStore(store))
            finally:
                await store.close()

        return curio.run(run_query)

    async def _with_admin_client(self, query: Callable[[AdminClient], Awaitable[Any]]) -> Any:
        """Run a query on the entry VMs named in the settings and in the store's VM lists.

        If the store does not answer, only the VMs of the settings are queried.

        :raises StoreError: if the store does not answer and the settings name no entry VM
        """
        settings = self._load_settings()
        admin_client = AdminClient(settings)
        try:
            if settings.store is not None:
                store = StoreClient(settings.store, settings.timeout)
                try:
                    await admin_client.add_listed_vms(store)
                except StoreError:
                    if not settings.admin_addresses:
                        raise
                finally:
                    await store.close()
            return await query(admin_client)
        finally:
            await admin_client.close()

    def _write_drain(self, service: str, edit: DrainEdit) -> None:
        self._show_write_result(
            self._with_documents(lambda documents: documents.drain(str(service), edit))
        )

    def _show_write_result(self, result: WriteResult) -> None:
        if result.written:
            line = (
                f"{result.service}: version {result.version}, change {result.change}, "
                f"replaces version {result.replaced}"
            )
            if result.confirmed_by != "answer":
                line += " (the store's answer was lost; read back)"
        else:
            line = f"{result.service}: unchanged, already in version {result.version}"
        self._output.show(attrs.asdict(result), [line])

    async def _status(self, service: str | None) -> tuple[Any, list[str], ExitCode]:
        settings = self._load_settings()
        store = StoreClient(settings.require_store(), settings.timeout)
        try:
            stored_documents = await DocumentStore(store).list_all()
        except StoreError as error:
            stored_documents = None
            problem = str(error)
        else:
            problem = ""
        finally:
            await store.close()
        states, unreachable = await self._with_admin_client(AdminClient.states)
        return _status_report(service, stored_documents, problem, states, unreachable)

    async def _explain(self, service: str, client: str, vm: str | None) -> Any:
        async def fetch_explanation(admin_client: AdminClient) -> Any:
            names = admin_client.names if vm is None else [str(vm)]
            failure = UnreachableError("no entry VM's administration address is known")
            for name in names:
                try:
                    return await admin_client.explain(name, service, client)
                except UnreachableError as error:
                    failure = error
            raise failure

        return await self._with_admin_client(fetch_explanation)


def _status_report(
    service: str | None,
    stored_documents: dict[str, Any] | None,
    problem: str,
    states: dict[str, Any],
    unreachable: dict[str, str],
) -> tuple[Any, list[str], ExitCode]:
    """Return the status as a JSON value, as lines of text, and the exit code.

    :param stored_documents: stored documents by service, or None if the store did not answer
    :param problem: error of the store, or empty
    :param states: state dumps by VM
    :param unreachable: errors of the VMs that did not answer, by VM
    """
    known = set(stored_documents or ()) | {name for s in states.values() for name in s["documents"]}
    names = sorted(known) if service is None else [service]
    lines = []
    services = []
    drains = []
    code = ExitCode.OK
    for name in names:
        found = (stored_documents or {}).get(name)
        propagation = service_status(name, found, states)
        current_vms = len(propagation.held) - len(propagation.behind)
        stored = (
            "store unreachable"
            if stored_documents is None
            else f"stored version {propagation.stored}"
        )
        lines.append(
            f"{name}: {stored}, in force on {current_vms} of {len(propagation.held)} entry VMs"
        )
        lines += [f"  {vm} holds version {propagation.held[vm]}" for vm in propagation.behind]
        for vm, reasons in sorted(propagation.refused.items()):
            lines += [f"  {vm} refuses {reason}" for reason in reasons]
        if propagation.behind or propagation.refused:
            code = ExitCode.FAILURE
        services.append({**attrs.asdict(propagation), "behind": propagation.behind})
        for progress in drain_progress(found, states) if found else []:
            lines.append(
                f"  {progress.place}: {progress.state}, {progress.running} requests run on "
                f"{progress.targets} targets"
            )
            drains.append({**attrs.asdict(progress), "state": progress.state})
    lines += [f"no answer: {reason}" for reason in unreachable.values()]
    if problem:
        lines.append(f"store: {problem}")
    if unreachable or problem:
        code = ExitCode.UNKNOWN
    value = {
        "services": services,
        "drains": drains,
        "unreachable": unreachable,
        "store": problem or None,
    }
    return value, lines, code


def _read_json(path: str) -> Any:
    try:
        return json.loads(Path(str(path)).read_text())
    except OSError as error:
        raise DocumentError((f"document file {path}: {error.strerror}",)) from error
    except ValueError as error:
        raise DocumentError((f"document file {path} is not JSON: {error}",)) from error


def _exit_code(error: CarawayquayError) -> ExitCode:
    match error:
        case DocumentError() | SettingsError():
            return ExitCode.REFUSED
        case ConcurrentChangeError() | ConflictError():
            return ExitCode.CONFLICT
        case StoreError() | UnreachableError():
            return ExitCode.UNKNOWN
    return ExitCode.FAILURE


def _with_json_flag_value(arguments: list[str]) -> list[str]:
    """Replace ``--json`` by ``--json=True``; fire would take the next argument as its value."""
    return ["--json=True" if argument == "--json" else argument for argument in arguments]


def main() -> None:
    """Run the command given on the command line and exit with its code."""
    arguments = _with_json_flag_value(sys.argv[1:])
    # fire first parses an IP address as a Python literal, which emits a SyntaxWarning.
    warnings.simplefilter("ignore", SyntaxWarning)
    try:
        fire.Fire(Commands, command=arguments, name="carawayquayctl")
    except CarawayquayError as error:
        code = _exit_code(error)
        problems = list(getattr(error, "problems", (str(error),)))
        Output("--json=True" in arguments).fail(code, problems)
        sys.exit(code)


if __name__ == "__main__":
    main()
