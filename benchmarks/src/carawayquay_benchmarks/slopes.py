"""Cost slopes of documents, VM lists and loan messages, for docs/CAPACITY.md."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from carawayquay.catalog import DocumentCatalog, StoredDocument
from carawayquay.directory import Directory
from carawayquay.documents import parse_document
from carawayquay.loans import ListPosition, Loan, LoanReply, LoanRequest
from carawayquay.membership import Address, DomainList, EntryVM
from carawayquay.rendezvous import ranked
from carawayquay_benchmarks.regression import Slope, bytes_slope, cpu_slope, memory_slope
from carawayquay_wire.codec import decode, encode, message_code

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["directory_slopes", "document_slopes", "loan_slopes", "main"]

_REGIONS = 19
_DOMAINS = 61
_TARGET_SIZES = (36, 300, 1200, 2400)
_VM_SIZES = (20, 500, 2000, 7700)
_MEMBER_SIZES = (10, 50, 126, 300)
_RANK_REPEATS = 100
_TARGET_COUNTS = (1, 4, 16, 64)
_LOAN_REPEATS = 100


def document_value(targets: int) -> dict[str, Any]:
    """Return a document whose targets are spread over the regions of the two-year plan.

    :param targets: number of targets
    """
    regions = [f"region-{index}" for index in range(_REGIONS)]
    return {
        "service": "sledway",
        "regions": {region: {"limit": 1000} for region in regions},
        "order": {home: [home, *(r for r in regions if r != home)] for home in regions},
        "targets": [_target_value(index) for index in range(targets)],
    }


def document_slopes() -> list[Slope]:
    """Measure the cost of documents by their number of targets."""
    return [
        cpu_slope("validation of a document, by targets", _TARGET_SIZES, _check_work),
        memory_slope("document in force, by targets", _TARGET_SIZES, _catalog),
        cpu_slope("JSON parsing of a document, by targets", _TARGET_SIZES, _text_work),
    ]


def directory_slopes() -> list[Slope]:
    """Measure the cost of VM lists by number of VMs, and of rankings by number of members."""
    return [
        memory_slope("VM lists of all failure domains, by VMs", _VM_SIZES, _directory),
        cpu_slope("100 rendezvous rankings, by members", _MEMBER_SIZES, _rank_work),
    ]


def loan_slopes() -> list[Slope]:
    """Measure the cost of loan requests and replies by the number of targets in them."""
    return [
        bytes_slope("loan request and reply, by targets", _TARGET_COUNTS, _loan_bytes),
        cpu_slope(
            "100 loan requests and replies encoded and decoded, by targets",
            _TARGET_COUNTS,
            _loan_work,
        ),
    ]


def main() -> None:
    """Print every slope."""
    for slope in [*document_slopes(), *directory_slopes(), *loan_slopes()]:
        print(slope)


def _target_value(index: int) -> dict[str, Any]:
    region = index % _REGIONS
    return {
        "name": f"sledway-{index}",
        "region": f"region-{region}",
        "domain": f"region-{region}-{'abc'[index % 3]}",
        "address": f"10.{index // 250}.{index % 250}.1:8080",
        "slots": 7,
    }


def _check_work(targets: int) -> Callable[[], Any]:
    value = document_value(targets)
    return lambda: parse_document(value)


def _text_work(targets: int) -> Callable[[], Any]:
    text = json.dumps(document_value(targets))
    return lambda: json.loads(text)


def _catalog(targets: int) -> DocumentCatalog:
    catalog = DocumentCatalog()
    value = json.loads(json.dumps(document_value(targets)))
    catalog.adopt(StoredDocument("sledway", 1, "change", value))
    return catalog


def _directory(vms: int) -> Directory:
    directory = Directory()
    for index in range(_DOMAINS):
        name = f"domain-{index}"
        members = tuple(
            EntryVM(
                f"{name}-{number}",
                name,
                f"region-{index % _REGIONS}",
                Address(f"10.0.{index}.{number}", 8080),
                Address(f"10.0.{index}.{number}", 8081),
            )
            for number in range(vms // _DOMAINS + 1)
        )
        directory.adopt(DomainList(name, 1, members))
    return directory


def _rank_work(members: int) -> Callable[[], Any]:
    names = [f"vm-{index}" for index in range(members)]

    def work() -> None:
        for target in range(_RANK_REPEATS):
            ranked(f"target-{target}", names)

    return work


def _loan_messages(targets: int) -> tuple[LoanRequest, LoanReply]:
    names = [f"sledway-domain-{index}" for index in range(targets)]
    position = ListPosition("domain-7-12", 2**60, 4000, 4000, 4000)
    loans = [Loan(name, 2) for name in names]
    return LoanRequest(position, 100_000, names), LoanReply(position, loans)


def _loan_bytes(targets: int) -> int:
    return sum(len(encode(message)) for message in _loan_messages(targets))


def _loan_work(targets: int) -> Callable[[], Any]:
    messages = _loan_messages(targets)

    def work() -> None:
        for _ in range(_LOAN_REPEATS):
            for message in messages:
                decode(message_code(message), encode(message))

    return work


if __name__ == "__main__":
    main()
