"""Values to compare with those that an earlier build recorded, without inner names.

The fields of a value are compared in the order in which its type declares them: a field may be
renamed, but must keep its position and meaning. The earlier build ran each function in
``OBSERVATIONS`` too; its result is in the file of the same name in the folder ``recorded``.
"""

from __future__ import annotations

import enum
import inspect
import itertools
import json
import re
import subprocess
import sys
import types
import typing
from collections import Counter
from datetime import timedelta
from pathlib import Path
from typing import Any
from unittest import mock

import attrs
import capnp
import curio
import gateway_builders
from caller_builders import FakeSteering, caller_api, post

from carawayquay.blocks import BlockChunk, BlockTable, parse_client, parse_index
from carawayquay.changes import Change, DocumentVersion, stored_object
from carawayquay.claim_keys import ShardId, mint_key, parse_key
from carawayquay.claim_maps import parse_shard_map
from carawayquay.clock import ManualClock
from carawayquay.configuration_drafts import build_configuration
from carawayquay.discovery import TargetState
from carawayquay.documents import parse_document
from carawayquay.errors import ANSWERS, ErrorKind
from carawayquay.fence import ClockReading
from carawayquay.load_reports import DomainSummary, LoadReport, short_hash
from carawayquay.lookup import client_bucket
from carawayquay.membership import VMState, parse_domain_list
from carawayquay.objects import DOCUMENTS, VM_LISTS, ObjectTable, StoredObject
from carawayquay.quarantine import SuspectReport
from carawayquay.rendezvous import ranked
from carawayquay.request_fingerprints import booking_fingerprint
from carawayquay.requests import Forward
from carawayquay.routes import RouteKind
from carawayquay.settings import (
    SETTINGS,
    Setting,
    parse_settings,
    parse_table,
    parse_table_leniently,
)
from carawayquay.slots import Ticket
from carawayquay_gateway.admin import AdminApi, ReadinessApi
from carawayquay_gateway.lookups import LookupApi
from carawayquay_gateway.settings import GATEWAY_SETTINGS, parse_gateway_settings
from carawayquay_platform.configuration import CONFIGURATION_NAME, parse_configuration
from carawayquay_platform.headers import (
    caller_response,
    parse_request,
    parse_response,
    refusal_response,
    response_matches,
    target_request,
)
from carawayquay_platform.objects import (
    ObjectKind,
    entry_vm_spec,
    parse_entry_vm,
    parse_object,
    parse_target,
)
from carawayquay_wire.events import Event, format_fields
from carawayquay_wire.frames import Frame, FrameReader, Role, encode_frame
from carawayquay_wire.http import HttpRequest, HttpResponse
from carawayquay_wire.metrics import Metrics
from carawayquayctl.cli import Commands
from carawayquayctl.output import ExitCode
from carawayquayctl.settings import DEFAULT_FILE, load_operator_settings
from carawayquayd import cli
from carawayquayd.admin import AdminApi as DaemonAdminApi
from carawayquayd.app import Application
from carawayquayd.callers import CallerApi
from carawayquayd.peers import PeerApi
from carawayquayd.state import NodeState
from carawayquayd.steering import Steering
from carawayquayd.target_client import build_http_request

__all__ = [
    "OBSERVATIONS",
    "enum_values",
    "filled",
    "plain",
    "recorded",
    "recorded_text",
]

_FOLDER = Path(__file__).parent / "recorded"

DOCUMENT = {
    "service": "granite",
    "regions": {"puget": {"limit": 11}, "inland": {"limit": 12}},
    "targets": [
        {
            "name": "granite-1",
            "region": "puget",
            "domain": "puget-a",
            "address": "127.0.0.1:7401",
            "slots": 3,
        },
        {
            "name": "granite-2",
            "region": "inland",
            "domain": "inland-a",
            "address": "127.0.0.2:7402",
            "slots": 4,
        },
    ],
    "order": {"puget": ["puget", "inland"], "inland": ["inland"]},
    "cap": {"planned": 0.15, "failure": 0.45, "window": 21},
    "drains": ["inland-a"],
    "timeout": 3.5,
    "warm_up": 22,
    "key_life": 333,
}
VM_LIST = {
    "vms": [
        {
            "name": "puget-a-1",
            "region": "puget",
            "callers": "127.0.0.1:7101",
            "peers": "127.0.0.2:7102",
            "admin": "127.0.0.3:7103",
            "state": "live",
        },
        {
            "name": "puget-a-2",
            "region": "puget",
            "callers": "127.0.0.1:7111",
            "peers": "127.0.0.2:7112",
            "state": "leaving",
        },
    ]
}
BLOCKS = {
    "sites": {
        "lakewood": {"region": "puget", "domain": "puget-a"},
        "yakima": {"region": "inland"},
    },
    "blocks": {"10.0.0.0/8": "lakewood", "10.1.0.0/16": "yakima", "2001:db8::/32": "yakima"},
}
ENTRY_VM = {
    "metadata": {
        "name": "puget-a-1",
        "revision": 41,
        "created": 1,
        "finalizers": [],
        "pending_delete": False,
    },
    "spec": {"host": "127.0.0.1", "domain": "puget-a", "region": "puget", "incarnation": 4242},
    "status": None,
}
TARGET = {
    "metadata": {"name": "granite-1", "revision": 42, "created": 1, "finalizers": ["f"]},
    "spec": {
        "service": "granite",
        "address": "127.0.0.1:7501",
        "zone": "puget-a",
        "version": "v1",
        "max_concurrency": 5,
        "state": "ready",
        "cold_left": "1500ms",
        "sequence": 6,
        "born": 7000,
    },
    "status": None,
}
CONFIGURATION = {
    "version": "r12",
    "base_version": "r11",
    "services": [
        {
            "name": "granite",
            "max_conns": 720,
            "cold_start": "3s",
            "cold_per_s": 20.5,
            "protocol": "h1",
            "tls": False,
            "health_path": "/health",
        }
    ],
    "limits": {
        "max_header_bytes": 16385,
        "max_body_bytes": 1048577,
        "header_timeout": "3100ms",
        "idle_timeout": "14s",
    },
    "virtual_hosts": [
        {
            "host": "stones.example",
            "paths": [
                {
                    "name": f"route-{kind}",
                    "path_prefix": f"/{kind}/",
                    "kind": kind,
                    "timeout": "1200ms",
                    "target_latency": "200ms",
                    "priority": 2,
                    "max_attempts": 3,
                    "sticky": True,
                    "allowed_regions": ["puget", "inland"],
                    **services,
                }
                for kind, services in (
                    ("idempotent", {"service": "granite"}),
                    ("non_idempotent", {"service": "granite"}),
                    (
                        "download",
                        {"weighted_backends": [{"service": "granite", "weight": 90.5}]},
                    ),
                )
            ],
        }
    ],
}
CALLER_HEADERS = (
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "start-by-ms",
    "target-boot",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-own",
)
_LOG_EVENT = "EventLog('state').warning(Event.WOKEN, paused_ms=7, reason='two words')"
LOG_PROGRAMS = {
    "daemon": f"""
from carawayquay_wire.events import Event, EventLog, set_up_logging
set_up_logging("INFO")
{_LOG_EVENT}
""",
    "gateway": f"""
import sys
from carawayquay_wire.events import Event, EventLog, set_up_bounded_logging
class Output:
    def write(self, line):
        print(line, file=sys.stderr)
set_up_bounded_logging("INFO", Output())
{_LOG_EVENT}
""",
}
REQUEST_HEADERS = (
    (b"host", b"stones.example"),
    (b"request-id", b"id-1"),
    (b"affinity-key", b"17"),
    (b"deadline-ms", b"950"),
    (b"expect-instance", b"other"),
    (b"connection", b"keep-alive, x-hop"),
    (b"keep-alive", b"timeout=5"),
    (b"x-hop", b"1"),
    (b"proxy-connection", b"1"),
    (b"te", b"trailers"),
    (b"trailer", b"x"),
    (b"transfer-encoding", b"chunked"),
    (b"upgrade", b"h2c"),
    (b"content-length", b"4"),
    (b"expect", b"100-continue"),
    (b"x-own", b"stays"),
)
RESPONSE_HEADERS = (
    (b"Request-Id", b"id-1"),
    (b"Server-Load", b"1,2,3"),
    (b"Not-Executed", b"1"),
    (b"Keep-Alive", b"timeout=7, max=3"),
    (b"Connection", b"x-hop"),
    (b"X-Hop", b"1"),
    (b"Content-Length", b"6"),
    (b"X-Own", b"stays"),
)


def recorded(name: str) -> Any:
    """Return the value in a recorded JSON file.

    :param name: name of the file without its suffix
    """
    return json.loads(recorded_text(f"{name}.json"))


def recorded_text(name: str) -> str:
    """Return the text of a recorded file."""
    return (_FOLDER / name).read_text()


def reports_schema(name: str) -> dict[str, Any]:
    """Return the schemas of reports and summaries of an earlier build.

    :param name: the schema file's name without its suffix
    """
    schema = capnp.load(str(_FOLDER / f"{name}.capnp"))
    return {"LoadReport": schema.LoadReport, "DomainSummary": schema.DomainSummary}


def plain(value: Any) -> Any:
    """Return a value as JSON types, with an instance as a list of its fields in declared order."""
    if attrs.has(type(value)):
        return [
            plain(getattr(value, field.name)) for field in attrs.fields(type(value)) if field.init
        ]
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bytes | bytearray):
        return value.hex()
    if isinstance(value, timedelta):
        return value.total_seconds()
    if isinstance(value, dict):
        return {str(plain(key)): plain(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(plain(item) for item in value)
    if isinstance(value, list | tuple | range):
        return [plain(item) for item in value]
    if not isinstance(value, str | int | float | None):
        raise TypeError(f"{value!r} has no plain form")
    return value


def filled(cls: type, true_flag: int = 0) -> Any:
    """Return an instance whose fields all differ, except for flags, of which only one is true.

    :param true_flag: index of the true flag in the order of the fields
    """
    return _Filler(true_flag).fill(cls)


def enum_values(cls: type) -> list[list[Any]]:
    """Return the member values of each enumeration that a filled instance uses."""
    filler = _Filler(0)
    filler.fill(cls)
    return [[member.value for member in kind] for kind in filler.members]


class _Filler:
    """Generates values of types, with a different number in each value."""

    def __init__(self, true_flag: int) -> None:
        self._numbers = itertools.count(1)
        self.members: Counter[type] = Counter()
        self._true_flag = true_flag
        self.flags = 0

    def fill(self, kind: Any) -> Any:
        origin = typing.get_origin(kind)
        if origin in (list, tuple):
            item = typing.get_args(kind)[0]
            return origin(self.fill(item) for _ in range(2))
        if origin in (typing.Union, types.UnionType):
            return self.fill(typing.get_args(kind)[0])
        if attrs.has(kind):
            attrs.resolve_types(kind)
            return kind(*[self.fill(field.type) for field in attrs.fields(kind)])
        if kind is bool:
            self.flags += 1
            return self.flags - 1 == self._true_flag
        if issubclass(kind, enum.Enum):
            self.members[kind] += 1
            return list(kind)[self.members[kind] % len(kind)]
        number = next(self._numbers)
        if kind is float:
            return number + 0.5
        return {int: number, str: f"text-{number}", bytes: bytes([number, 255])}[kind]


def daemon_settings() -> Any:
    """Return the values that a daemon reads from its settings, and all defaults and bounds."""
    text = recorded_text("daemon.ini")
    parsed = parse_table(text, SETTINGS).values
    settings = parse_settings(text)
    return {
        "values": _by_key(SETTINGS, parsed),
        "settings": plain(settings),
        "rules": _rules(SETTINGS),
    }


def gateway_settings() -> Any:
    """Return the values that a gateway reads from its settings, and all defaults and bounds."""
    text = recorded_text("gateway.ini")
    parsed = parse_table_leniently(text, GATEWAY_SETTINGS, ("regions",))
    settings = parse_gateway_settings(text)
    return {
        "values": _by_key(GATEWAY_SETTINGS, parsed.values),
        "settings": plain(settings),
        "regions": [parsed.open_sections, settings.regions],
        "problems": [list(parsed.problems), list(settings.problems)],
        "rules": _rules(GATEWAY_SETTINGS),
    }


def operator_settings() -> Any:
    """Return the default settings file of ``carawayquayctl`` and what it reads from one.

    The values are those without and with a store address on the command line.
    """
    path = str(_FOLDER / "carawayquayctl.ini")
    return [
        DEFAULT_FILE,
        plain(load_operator_settings(path, None)),
        plain(load_operator_settings(path, "127.0.0.9:7309")),
    ]


def _by_key(table: tuple[Setting, ...], values: dict[str, Any]) -> dict[str, Any]:
    return {f"[{row.section}] {row.key}": plain(values[row.attribute]) for row in table}


def _rules(table: tuple[Setting, ...]) -> dict[str, Any]:
    return {f"[{row.section}] {row.key}": [row.default, row.low, row.high] for row in table}


def stored_document() -> Any:
    """Return the parsed forms of a document with all keys and one with only the required keys."""
    optional = ("cap", "drains", "timeout", "warm_up", "key_life")
    short = {key: value for key, value in DOCUMENT.items() if key not in optional}
    return [plain(parse_document(DOCUMENT)), plain(parse_document(short))]


def stored_vm_list() -> Any:
    """Return the parsed form of a stored VM list."""
    return plain(parse_domain_list("puget-a", 7, VM_LIST))


def stored_shard_map() -> Any:
    """Return a stored shard map as parsed, and as written again."""
    value = recorded("shard_map")["value"]
    found = parse_shard_map("puget-a", 5, value)
    return {"value": _body(found.dump()), "fields": plain(found)}


def stored_blocks() -> Any:
    """Return homes of clients by a chunk of the block map, a parsed index and a table's dump."""
    chunk = BlockChunk("map-0", BLOCKS)
    table = BlockTable()
    table.adopt("map-0", "d1", BLOCKS)
    clients = ("10.0.0.1", "10.1.2.3", "192.0.2.1", "2001:db8::1")
    return {
        "homes": {client: plain(chunk.find(*parse_client(client))) for client in clients},
        "index": parse_index({"chunks": {"map-0": "d1"}}),
        "dump": table.dump(),
    }


def platform_objects() -> Any:
    """Return the parsed forms of an entry VM, a target and a configuration of the platform."""
    vm = parse_object(ENTRY_VM)
    target = parse_object(TARGET)
    gone = parse_object({**TARGET, "metadata": {**TARGET["metadata"], "pending_delete": True}})
    regions = {"puget-a": "puget"}
    draft = parse_configuration(CONFIGURATION)
    read = build_configuration(draft)
    return {
        "objects": [_object_fields(vm)[:4], _object_fields(target)[:4], _object_fields(gone)[:3]],
        "entry_vm": plain(parse_entry_vm(vm)),
        "entry_vm_spec": _body(entry_vm_spec(parse_entry_vm(vm))),
        "target": plain(parse_target(target, regions)),
        "target_gone": plain(parse_target(gone, regions)),
        "configuration": plain([read.version, read.routes, read.services, read.limits]),
        "remarks": [remark.effect.value for remark, _ in draft.remarks],
        "configuration_name": CONFIGURATION_NAME,
    }


def _object_fields(stored: Any) -> list[Any]:
    """Return the fields of an object, with its revision as the number that its writer sees."""
    return plain(attrs.evolve(stored, revision=stored.revision.number))


def refusals() -> Any:
    """Return status, outcome and whether a request may be retried, by kind of refusal."""
    return {
        kind.value: [answer.status, answer.outcome.value, answer.retryable]
        for kind, answer in ANSWERS.items()
    }


def names() -> Any:
    """Return the values of enumerations and of the kinds of stored objects."""
    return {
        "events": [plain(item) for item in Event],
        "route_kinds": [plain(item) for item in RouteKind],
        "target_states": [plain(item) for item in TargetState],
        "vm_states": [plain(item) for item in VMState],
        "object_kinds": [f"{item.name} {item.value}" for item in ObjectKind],
        "exit_codes": [f"{item.value}" for item in ExitCode],
        "stored_kinds": [DOCUMENTS, VM_LISTS],
        "frame_roles": [plain(item) for item in Role],
    }


def commands() -> Any:
    """Return the commands of ``carawayquayd`` and ``carawayquayctl``, with their arguments."""
    with mock.patch.object(cli.fire, "Fire") as fire:
        cli.main()
    found = {f"carawayquayd {name}": run for name, run in fire.call_args.args[0].items()}
    for name, run in inspect.getmembers(Commands, inspect.isfunction):
        if name == "__init__" or not name.startswith("_"):
            found[f"carawayquayctl {name}"] = run
    return {name: _parameters(run) for name, run in found.items()}


def _parameters(run: Any) -> list[str]:
    parameters = inspect.signature(run).parameters.values()
    required = inspect.Parameter.empty
    return [
        item.name if item.default is required else f"{item.name}={item.default!r}"
        for item in parameters
        if item.name != "self"
    ]


def metrics() -> Any:
    """Return the exposition and the dump of metrics of every kind."""
    filled_metrics = Metrics()
    filled_metrics.count("lookups_total", service="granite")
    filled_metrics.add("bytes_total", 7, way="in", region='a"b')
    filled_metrics.record("request_seconds", 0.25, service="granite")
    filled_metrics.count_refusal(ErrorKind.NO_TARGET)
    filled_metrics.observe_store_call("put", False, 0.125)
    filled_metrics.gauge("stopping", lambda: 1.0)
    return {"exposition": filled_metrics.exposition(), "dump": _body(filled_metrics.dump())}


def frames() -> Any:
    """Return the encoded bytes of one frame of each role, and the frames decoded from them."""
    data = [encode_frame(Frame(513, role, 2**40 + role, b"payload")) for role in Role]
    return {
        "bytes": [frame.hex() for frame in data],
        "read": plain(FrameReader().feed(b"".join(data))),
    }


def log_line() -> Any:
    """Return a log event formatted as one line."""
    fields = {"vm": "puget-a-1", "reason": 'two "words"', "empty": "", "ms": 7, "none": None}
    return format_fields(Event.OBJECT_REFUSED, fields)


def headers() -> Any:
    """Return a request and responses of the platform, as parsed and as forwarded."""
    request = HttpRequest("POST", "/reports/7?x=1", REQUEST_HEADERS, b"body", "192.0.2.7")
    response = HttpResponse(421, RESPONSE_HEADERS, b"answer")
    call = parse_request(request)
    answer = parse_response(response)
    sent = target_request(call, "granite-1", timedelta(milliseconds=777))
    refused = refusal_response(ErrorKind.NO_TARGET, 503, "id-1", 0.25)
    return {
        "request": plain(call),
        "response": plain(answer),
        "sent": plain(sent),
        "returned": plain(caller_response(answer)),
        "refused": plain(refused),
        "refused_without_id": plain(refusal_response(ErrorKind.MALFORMED, 400, "", None)),
        "matches": [response_matches(sent, response, False)],
    }


def gateway_answers() -> Any:
    """Return answers of a gateway's admin, readiness and look-up interfaces, by path or query."""
    targets = [("granite-1", gateway_builders.target()), ("granite-2", gateway_builders.target())]
    state = gateway_builders.new_state(targets=targets)
    near = gateway_builders.identity("puget-a-2", "127.0.0.2")
    state.peers.receive(LoadReport(near, 1, False, ()), state.clock.now())
    far = gateway_builders.identity("inland-a-1", "127.0.0.3", "inland-a", "inland")
    state.peers.receive_summary(DomainSummary(far, 1, (), 3), state.clock.now())
    state.service("granite")
    admin, ready = AdminApi(state), ReadinessApi(state)
    paths = ("/dump", "/objects/servers", "/objects/config", "/objects/servers?watch=20", "/other")
    found = {path: _answer(admin, path) for path in paths}
    found["/ready"] = _answer(ready, "/ready")
    found["/other of ready"] = _answer(ready, "/other")
    for query in ("name=stones.example&zone=inland-a", "region=puget"):
        found[query] = _answer(LookupApi(state), f"/resolve?{query}")
    found["/metrics"] = _answer(admin, "/metrics")
    return found


def daemon_answers() -> Any:
    """Return answers of a daemon's admin interface and to callers' look-ups, by path."""
    clock = ManualClock(timedelta(seconds=1000))
    with mock.patch("secrets.randbits", return_value=77):
        daemon = Application(parse_settings(recorded_text("daemon.ini")), clock)
    parts = {type(part): part for part in vars(daemon).values()}
    state = parts[NodeState]
    document = json.dumps({"change": "c-1", "document": DOCUMENT}).encode()
    state.documents.adopt_object(StoredObject(DOCUMENTS, "granite", 3, document))
    state.adopt_vm_list(StoredObject(VM_LISTS, "puget-a", 4, json.dumps(VM_LIST).encode()))
    state.blocks.adopt("map-0", "d1", BLOCKS)
    steering = parts[Steering]
    steering.shifts.budget(state.documents.get("granite").document, "puget")
    curio.run(parts[PeerApi].handle, filled(SuspectReport))
    admin, callers = parts[DaemonAdminApi], parts[CallerApi]
    found = {path: _answer(admin, path) for path in ("/state", "/other")}
    found["/explain"] = _answer(admin, "/explain?service=granite&client=10.1.2.3")
    for path in ("/lookup/granite?client=10.1.2.3", "/lookup/none?client=10.1.2.3", "/other"):
        found[path] = _answer(callers, path)
    found["/metrics"] = _answer(admin, "/metrics")
    return found


def template_keys() -> Any:
    """Return the sections and keys of the template for a gateway's settings file."""
    text = (Path(__file__).parents[2] / "deploy" / "gateway.ini.template").read_text()
    return re.findall(r"^(\[\w+\]|\w+(?= =)).*$", text, re.MULTILINE)


def stored_change() -> Any:
    """Return the stored JSON of a document that an operator's change writes."""
    change = Change("c-4", DocumentVersion(3, "c-3", ("c-2", "c-1"), DOCUMENT), DOCUMENT)
    return _body(stored_object(change))


def agreed_numbers() -> Any:
    """Return hashes, rankings and keys that have to be equal in builds that run side by side."""
    table = ObjectTable()
    table.register(DOCUMENTS, lambda _: None)
    table.offer(StoredObject(DOCUMENTS, "granite", 3, b"{}"))
    keys = ("plain-1", "puget-a.3.7." + "0" * 24, "puget-a.3.7." + "0" * 24 + "-second")
    return {
        "short_hash": short_hash("granite-1"),
        "ranked": plain(ranked("granite-1", [f"puget-a-{number}" for number in range(6)])),
        "shard": str(ShardId("puget-a", 3)),
        "buckets": [client_bucket(f"192.0.2.{number}") for number in range(9)],
        "fingerprint": booking_fingerprint(filled(Forward)).hex(),
        "keys": [plain(parse_key(key, ["puget-a", "puget-b", "inland-a"])) for key in keys],
        "minted": re.sub("[0-9a-f]{24}$", "", mint_key(ShardId("puget-a", 3), 7)),
        "object_summary": table.summary,
    }


def carried_request() -> Any:
    """Return a caller's booking as an entry VM forwards it and as a target gets it."""
    steering = FakeSteering()
    names = ("idempotency-key", "deadline-ms", "attempt", *CALLER_HEADERS)
    pairs = [(name.encode(), f"{number}00".encode()) for number, name in enumerate(names, 1)]
    response = curio.run(_carry, caller_api(steering=steering), post("/services/sledway/a", *pairs))
    (forward,) = steering.forwards
    ticket = Ticket("sledway-1", timedelta(seconds=10))
    reading = ClockReading("boot-1", 5000.0, timedelta(seconds=9))
    target = plain(build_http_request(forward, ticket, reading))
    # The wait of a request for its turn is no part of what is sent.
    assert target.pop() == 0.0
    return {
        "forward": plain(forward),
        "target": target,
        "response": plain(response),
    }


async def _carry(api: CallerApi, request: HttpRequest) -> HttpResponse:
    return await api.handle(request)


def log_output() -> Any:
    """Return whole log lines of a daemon and a gateway, with the digits of time stamps as 0."""
    return {kind: _logged(kind) for kind in LOG_PROGRAMS}


def _logged(kind: str) -> str:
    run = [sys.executable, "-c", LOG_PROGRAMS[kind]]
    text = subprocess.run(run, capture_output=True, text=True, check=True, timeout=30).stderr
    return re.sub(r"time=\S+", lambda found: re.sub("[0-9]", "0", found[0]), text)


def _answer(api: Any, path: str) -> list[Any]:
    response = api.handle(HttpRequest("GET", path, (), b"", "192.0.2.7"))
    names = [f"{name.decode()}: {value.decode()}" for name, value in response.headers]
    body = bytes(response.body).decode()
    if response.header(b"content-type") == "application/json":
        body = re.sub(r'"(?:[^"\\]|\\.)*":?', _without_prose, body)
    return [response.status, names, body]


def _without_prose(found: re.Match[str]) -> str:
    """Return a matched JSON string, or a placeholder if it is a text with spaces and not a key."""
    is_key = found[0].endswith(":")
    return '"(text)"' if " " in found[0] and not is_key else found[0]


def _body(value: Any) -> str:
    """Return a value as compact JSON."""
    return json.dumps(value, separators=(",", ":"))


#: Functions whose results are recorded, by name of the recorded file without its suffix.
OBSERVATIONS = {
    function.__name__: function
    for function in (
        daemon_settings,
        gateway_settings,
        operator_settings,
        stored_document,
        stored_vm_list,
        stored_shard_map,
        stored_blocks,
        platform_objects,
        refusals,
        names,
        commands,
        metrics,
        frames,
        log_line,
        headers,
        gateway_answers,
        daemon_answers,
        template_keys,
        stored_change,
        agreed_numbers,
        carried_request,
        log_output,
    )
}
