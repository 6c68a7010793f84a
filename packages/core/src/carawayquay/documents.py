"""The document in which a team configures its service, and its validation."""

from __future__ import annotations

import enum
import re
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.errors import DocumentError
from carawayquay.membership import Address

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "CAP_FIELDS",
    "DOCUMENT_FIELDS",
    "REGION_FIELDS",
    "REQUIRED",
    "TARGET_FIELDS",
    "Cap",
    "Document",
    "Field",
    "FieldKind",
    "Region",
    "Target",
    "VersionedDocument",
    "parse_document",
]

#: Default value that marks a field as required.
REQUIRED = object()

_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?")


class FieldKind(enum.Enum):
    """Type of a field's value."""

    NAME = "name"
    ADDRESS = "host:port"
    INTEGER = "whole number"
    NUMBER = "number"
    OBJECT = "object"
    LIST = "list"
    NAMES = "list of names"


@attrs.frozen
class Field:
    """One key of a document, with type, unit and bounds of its value.

    :param help: description for the documentation
    :param unit: unit of a number, for error messages and documentation
    :param low: minimum of a number
    :param high: maximum of a number
    :param default: default value, or ``REQUIRED``
    """

    key: str
    kind: FieldKind
    help: str
    unit: str = ""
    low: float | None = None
    high: float | None = None
    default: Any = REQUIRED

    @property
    def required(self) -> bool:
        """Whether a document must contain this key."""
        return self.default is REQUIRED

    @property
    def allowed(self) -> str:
        """Description of the allowed values, for error messages and documentation."""
        text = self.kind.value
        if self.low is not None:
            text += f" from {self.low:.10g} to {self.high:.10g}"
        return f"{text} {self.unit}".rstrip()


DOCUMENT_FIELDS = (
    Field("service", FieldKind.NAME, "name of the service"),
    Field("regions", FieldKind.OBJECT, "regions by name, with the load that each may carry"),
    Field("targets", FieldKind.LIST, "targets of the service"),
    Field("order", FieldKind.OBJECT, "for each home region, where its callers go, first to last"),
    Field("cap", FieldKind.OBJECT, "how much traffic a shift may move", default={}),
    Field("drains", FieldKind.NAMES, "regions, failure domains or targets to drain", default=[]),
    Field("timeout", FieldKind.NUMBER, "longest run of a request", "seconds", 0.05, 60, 2.0),
    Field("warm_up", FieldKind.NUMBER, "time in which a cold target warms", "seconds", 0, 600, 20),
    Field("key_life", FieldKind.NUMBER, "life of a booking's key", "seconds", 10, 86400, 600),
)
REGION_FIELDS = (
    Field("limit", FieldKind.INTEGER, "load that a region may carry", "requests", 0, 1e6),
)
TARGET_FIELDS = (
    Field("name", FieldKind.NAME, "name of the target"),
    Field("region", FieldKind.NAME, "region of the target"),
    Field("domain", FieldKind.NAME, "failure domain of the target"),
    Field("address", FieldKind.ADDRESS, "where the target listens"),
    Field("slots", FieldKind.INTEGER, "requests that it runs at once", "requests", 1, 1000),
)
CAP_FIELDS = (
    Field("planned", FieldKind.NUMBER, "cap of a planned move", "of traffic", 0, 1, 0.1),
    Field("failure", FieldKind.NUMBER, "cap after a failure", "of traffic", 0, 1, 0.34),
    Field("window", FieldKind.NUMBER, "window of both caps", "seconds", 1, 600, 10),
)


@attrs.frozen
class Region:
    """A region and its concurrency limit for the service.

    :param limit: maximum number of concurrent requests
    """

    name: str
    limit: int


@attrs.frozen
class Target:
    """One instance of a service, which runs requests.

    :param slots: number of requests that it runs at once
    """

    name: str
    region: str
    domain: str
    address: Address
    slots: int


@attrs.frozen
class Cap:
    """Limits of the traffic that a shift may move within a window.

    :param planned: maximum fraction 0 to 1 of the traffic for planned shifts
    :param failure: maximum fraction 0 to 1 of the traffic after a failure
    :param window: length of the window
    """

    planned: float = 0.1
    failure: float = 0.34
    window: timedelta = timedelta(seconds=10)


@attrs.frozen
class Document:
    """The validated document of one service.

    :param order: for each home region, the regions that serve its callers, most preferred first
    :param drains: names of draining regions, failure domains and targets
    :param timeout: maximum run time of a request
    :param warm_up: minimum time in which a cold target becomes warm
    :param key_life: lifetime of idempotency keys
    """

    service: str
    regions: tuple[Region, ...]
    targets: tuple[Target, ...]
    order: Mapping[str, tuple[str, ...]]
    cap: Cap
    drains: frozenset[str]
    timeout: timedelta
    warm_up: timedelta
    key_life: timedelta

    def region(self, name: str) -> Region | None:
        """Return a region by its name, or None."""
        return next((region for region in self.regions if region.name == name), None)

    def draining(self, target: Target) -> bool:
        """Return whether a target or its failure domain is draining and gets no new requests."""
        return not self.drains.isdisjoint((target.name, target.domain))

    def region_draining(self, region: str) -> bool:
        """Return whether a region is draining, by a planned shift of its traffic."""
        return region in self.drains

    def accepts(self, region: str) -> bool:
        """Return whether a region may take traffic from other regions."""
        return not self.region_draining(region) and any(
            target.region == region and not self.draining(target) for target in self.targets
        )


@attrs.frozen
class VersionedDocument:
    """A document as the platform's store holds it.

    :param version: version of the object, which only increases
    :param change: id of the change that wrote it
    :param value: the document as written, in JSON types
    :param document: the validated document
    """

    version: int
    change: str
    value: Mapping[str, Any]
    document: Document


def parse_document(value: object) -> Document:
    """Return the validated document.

    :param value: the document in JSON types
    :raises DocumentError: with all problems, if the document is invalid
    """
    problems: list[str] = []
    fields = _check("document", value, DOCUMENT_FIELDS, problems)
    regions = _check_regions(fields, problems)
    targets = _check_targets(fields, problems)
    cap = _check("cap", fields.get("cap", {}), CAP_FIELDS, problems)
    if problems:
        raise DocumentError(tuple(problems))
    document = Document(
        service=fields["service"],
        regions=regions,
        targets=targets,
        order=_parse_order(fields["order"], problems),
        cap=Cap(cap["planned"], cap["failure"], timedelta(seconds=cap["window"])),
        drains=frozenset(fields["drains"]),
        timeout=timedelta(seconds=fields["timeout"]),
        warm_up=timedelta(seconds=fields["warm_up"]),
        key_life=timedelta(seconds=fields["key_life"]),
    )
    problems.extend(_consistency_problems(document))
    if problems:
        raise DocumentError(tuple(problems))
    return document


def _check(
    where: str, value: object, fields: tuple[Field, ...], problems: list[str]
) -> dict[str, Any]:
    """Return the valid fields of an object; append a message to *problems* for each invalid one.

    :param where: name of the object in messages
    """
    if not isinstance(value, dict):
        problems.append(f"{where} is not an object")
        return {}
    known = {field.key for field in fields}
    problems.extend(f'{where} has unknown key "{key}"' for key in value if key not in known)
    checked: dict[str, Any] = {}
    for field in fields:
        if field.key in value:
            if _allowed(field, value[field.key]):
                checked[field.key] = value[field.key]
            else:
                problems.append(
                    f'{where} key "{field.key}" is {value[field.key]!r}, not a {field.allowed}'
                )
        elif field.required:
            problems.append(f'{where} lacks key "{field.key}", a {field.allowed}')
        else:
            checked[field.key] = field.default
    return checked


def _allowed(field: Field, value: object) -> bool:
    """Return whether a value has the field's type and is within its bounds."""
    match field.kind:
        case FieldKind.NAME:
            return isinstance(value, str) and _NAME.fullmatch(value) is not None
        case FieldKind.ADDRESS:
            return isinstance(value, str) and _is_address(value)
        case FieldKind.INTEGER:
            fits = isinstance(value, int) and not isinstance(value, bool)
            return fits and field.low <= value <= field.high
        case FieldKind.NUMBER:
            fits = isinstance(value, int | float) and not isinstance(value, bool)
            return fits and field.low <= value <= field.high
        case FieldKind.OBJECT:
            return isinstance(value, dict)
        case FieldKind.LIST:
            return isinstance(value, list)
        case FieldKind.NAMES:
            return isinstance(value, list) and all(isinstance(item, str) for item in value)


def _is_address(text: str) -> bool:
    try:
        Address.parse(text)
    except ValueError:
        return False
    return True


def _check_regions(fields: Mapping[str, Any], problems: list[str]) -> tuple[Region, ...]:
    regions = []
    for name, value in fields.get("regions", {}).items():
        region = _check(f'region "{name}"', value, REGION_FIELDS, problems)
        regions.append(Region(name, region.get("limit", 0)))
    return tuple(regions)


def _check_targets(fields: Mapping[str, Any], problems: list[str]) -> tuple[Target, ...]:
    targets = []
    for index, value in enumerate(fields.get("targets", [])):
        before = len(problems)
        target = _check(f"target {index}", value, TARGET_FIELDS, problems)
        if len(problems) == before:
            target["address"] = Address.parse(target["address"])
            targets.append(Target(**target))
    return tuple(targets)


def _parse_order(value: Mapping[str, Any], problems: list[str]) -> dict[str, tuple[str, ...]]:
    order = {}
    for home, regions in value.items():
        if isinstance(regions, list) and all(isinstance(name, str) for name in regions):
            order[home] = tuple(regions)
        else:
            problems.append(f'order of region "{home}" is not a list of names')
    return order


def _consistency_problems(document: Document) -> list[str]:
    """Return a message for each inconsistency between the parts of a document."""
    problems = []
    regions = {region.name for region in document.regions}
    if not regions:
        problems.append("document has no region")
    seen: set[str] = set()
    for target in document.targets:
        if target.name in seen:
            problems.append(f'target "{target.name}" is listed twice')
        seen.add(target.name)
        if target.region not in regions:
            problems.append(f'target "{target.name}" is in unknown region "{target.region}"')
    for home, names in document.order.items():
        problems.extend(
            f'order of region "{home}" names unknown region "{name}"'
            for name in names
            if name not in regions
        )
        if len(set(names)) != len(names):
            problems.append(f'order of region "{home}" names a region twice')
    problems.extend(
        f'region "{name}" has no order' for name in sorted(regions - document.order.keys())
    )
    places = regions | seen | {target.domain for target in document.targets}
    problems.extend(
        f'drains contains unknown place "{name}"' for name in sorted(document.drains - places)
    )
    return problems
