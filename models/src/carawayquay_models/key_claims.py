"""Model of the claims of one idempotency key by the primary and the backup of its shard.

Any step of a process may happen at any time or never. This covers pauses, late and lost messages,
an unreachable store and false failure detection. Messages to a backup arrive at once, or stay in
the network and arrive late, more than once and in any order.

Three steps are atomic, since a delay adds no behaviour:

- A write to the store takes effect at once, but its writer learns of it only by reading the map,
  which may be never. A write that takes effect late looks the same until a VM reads the map, and a
  write that fails looks the same as none.
- A backup's acknowledgement arrives at once or is lost, since it only permits a later step.
- A key gets its epoch when it is first sent; this may be any epoch up to the current one.
"""

from __future__ import annotations

import enum
import sys
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    "CONFIGURATIONS",
    "LONG_CONFIGURATIONS",
    "Configuration",
    "Safeguard",
    "check",
    "key_claims_model",
    "main",
]

MAX_STATES = 3_000_000

#: Kinds of the messages that a primary sends to its backup.
_BACKUP_MESSAGE_KINDS = ("record", "fill")

#: Holder in epoch 0, where a node starts that has not read the map yet, and in an epoch that an
#: unconditional write has removed from the map.
_NO_HOLDER = (-1, -1)


class Safeguard(enum.Enum):
    """A rule of the protocol that a check can disable."""

    ACKNOWLEDGE_BEFORE_DISPATCH = "a claim is dispatched only after the backup acknowledged it"
    REJECT_OLD_EPOCH = "a holder in a newer epoch rejects the claims of the old primary"
    UNDECIDED_AFTER_TAKEOVER = (
        "after a takeover, claims without a result are undecided and never dispatched"
    )
    COMPLETE_BEFORE_TAKEOVER = (
        "only a backup with a complete copy of the claims takes over as complete"
    )
    COMPLETE_SINCE = "a primary claims no key of an epoch before the last loss of claims"
    KEY_EPOCH = "a stale primary rejects keys of a newer epoch"
    CONDITIONAL_WRITE = "the map is written only by conditional update"
    INCARNATION = "a restarted process no longer counts as the holder that it was before"
    RELEASE_ON_REJECTION = "only an explicit rejection by the target releases a claim"
    SEQUENCE = "a message with an older sequence number does not overwrite a later claim"
    REJECT_FIRST_ATTEMPT_ONLY = (
        "while its shard is not served, only a first attempt is rejected as not run"
    )


class Assignment(NamedTuple):
    """The holders of the shard in one epoch, as pairs of node index and incarnation.

    :param complete_since: epoch from which on the holders know every claim
    """

    primary: tuple[int, int]
    backup: tuple[int, int]
    complete_since: int


class Node(NamedTuple):
    """One entry VM.

    :param epoch: epoch of the map that it has read last, or 0 after a restart
    :param complete: whether it knows every claim since ``complete_since``
    :param claim_state: ``-`` none, ``c`` claimed, ``d`` dispatched by this VM, ``u`` undecided,
        ``r`` result known
    :param sequence: sequence number, which rises with the start and the end of each claim
    :param attempt: attempt that made the last claim
    :param acknowledged: whether the backup acknowledged the current sequence number
    :param filled: whether the backup acknowledged a full copy of the claims
    """

    incarnation: int = 0
    epoch: int = 0
    complete: bool = False
    complete_since: int = 0
    claim_state: str = "-"
    sequence: int = 0
    attempt: int = 0
    acknowledged: bool = False
    filled: bool = False


class State(NamedTuple):
    """The whole system.

    :param assignments: the shard map of each epoch, from epoch 1 on
    :param messages: messages in the network, as tuples: to a backup ``record`` or ``fill``, epoch,
        claim state, sequence and ``complete_since``; to or from the target ``request``, ``result``
        or ``refusal``, node index, incarnation, sequence and attempt
    :param replies: state of each attempt: ``s`` not sent, ``p`` sent, ``w`` rejected by the target
        but not yet answered, ``N`` answered as not run, ``R`` answered with the result; an unknown
        outcome counts as no answer
    :param runs: attempts that the target has run
    :param key_epoch: epoch of the key, or 0 before it is first sent
    """

    assignments: tuple[Assignment, ...]
    nodes: tuple[Node, ...]
    messages: frozenset[tuple[Any, ...]]
    replies: tuple[str, ...]
    runs: tuple[int, ...]
    key_epoch: int


@attrs.frozen
class Configuration:
    """The bounds of one check.

    :param restarts: maximum number of restarts of each entry VM
    :param late_messages: maximum number of messages to backups in the network at once
    """

    name: str
    nodes: int
    epochs: int
    attempts: int
    restarts: int
    late_messages: int


CONFIGURATIONS = (
    Configuration("takeover", nodes=3, epochs=2, attempts=2, restarts=0, late_messages=0),
    Configuration("released", nodes=2, epochs=2, attempts=3, restarts=0, late_messages=1),
    Configuration("replaced", nodes=2, epochs=2, attempts=2, restarts=1, late_messages=1),
    Configuration("separated", nodes=4, epochs=2, attempts=2, restarts=0, late_messages=0),
)

#: Configurations that are checked outside CI only, as each takes minutes.
LONG_CONFIGURATIONS = (
    Configuration("takeover-late", nodes=3, epochs=2, attempts=2, restarts=0, late_messages=1),
    Configuration("separated-late", nodes=4, epochs=2, attempts=2, restarts=0, late_messages=1),
    Configuration("replaced-late", nodes=3, epochs=2, attempts=2, restarts=1, late_messages=1),
    Configuration("twice-late", nodes=3, epochs=3, attempts=2, restarts=0, late_messages=1),
)


def key_claims_model(
    configuration: Configuration, disabled: frozenset[Safeguard] = frozenset()
) -> Protocol:
    """Return the model of a configuration, with some safeguards disabled."""
    first = Assignment((0, 0), (1, 0), 1)
    nodes = [Node(epoch=1) for _ in range(configuration.nodes)]
    nodes[0] = Node(epoch=1, complete=True, complete_since=1, filled=True)
    nodes[1] = Node(epoch=1, complete=True, complete_since=1)
    initial = State(
        assignments=(first,),
        nodes=tuple(nodes),
        messages=frozenset(),
        replies=("s",) * configuration.attempts,
        runs=(),
        key_epoch=0,
    )
    steps = _Transitions(configuration, disabled)
    return Protocol(
        name=configuration.name,
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=steps.transitions,
        invariants={
            "runs_at_most_once": lambda s: len(s["runs"]) <= 1,
            "not_run_is_true": _not_run_is_correct,
            "epoch_at_most_current": lambda s: all(
                n.epoch <= len(s["assignments"]) for n in s["nodes"]
            ),
        },
    )


def _not_run_is_correct(state: dict[str, Any]) -> bool:
    """Return whether no attempt ran up to the last one that was answered as not run."""
    refused = [number for number, reply in enumerate(state["replies"]) if reply == "N"]
    return not refused or all(attempt > max(refused) for attempt in state["runs"])


class _Transitions:
    """The transitions that are possible from a state."""

    def __init__(self, configuration: Configuration, disabled: frozenset[Safeguard]) -> None:
        self._configuration = configuration
        self._disabled = disabled

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the label of each possible transition and the state after it."""
        return [(label, self._prune(after)) for label, after in self._all_steps(State(*state))]

    def _is_enabled(self, safeguard: Safeguard) -> bool:
        return safeguard not in self._disabled

    def _is_holder(self, holder: tuple[int, int], index: int, node: Node) -> bool:
        if not self._is_enabled(Safeguard.INCARNATION):
            return holder[0] == index
        return holder == (index, node.incarnation)

    def _is_primary(self, state: State, index: int) -> bool:
        node = state.nodes[index]
        return self._is_holder(_assignment(state, node.epoch).primary, index, node)

    def _is_backup(self, state: State, index: int) -> bool:
        node = state.nodes[index]
        return self._is_holder(_assignment(state, node.epoch).backup, index, node)

    def _all_steps(self, state: State) -> Iterator[tuple[str, State]]:
        for index, node in enumerate(state.nodes):
            yield from self._map_steps(state, index, node)
            yield from self._attempt_steps(state, index, node)
            if self._is_primary(state, index):
                yield from self._primary_steps(state, index, node)
        for message in state.messages:
            match message:
                case ("record" | "fill", *_):
                    yield from self._receive(state, message)
                case ("request", *_):
                    yield from self._target_steps(state, message)
                case ("result" | "refusal", *_):
                    yield from self._receive_target_reply(state, message)

    # The map

    def _map_steps(self, state: State, index: int, node: Node) -> Iterator[tuple[str, State]]:
        if node.epoch != len(state.assignments):
            yield f"{index} reads map", self._adopt_assignment(state, index, node)
        if node.incarnation < self._configuration.restarts:
            yield f"{index} restarts", _replace_node(state, index, Node(node.incarnation + 1))
        if not 0 < node.epoch < self._configuration.epochs:
            return
        if node.epoch == len(state.assignments) or not self._is_enabled(
            Safeguard.CONDITIONAL_WRITE
        ):
            for label, assignment in self._proposals(state, index, node):
                assignments = (*state.assignments[: node.epoch], assignment)
                yield f"{index} writes {label}", state._replace(assignments=assignments)

    def _proposals(self, state: State, index: int, node: Node) -> Iterator[tuple[str, Assignment]]:
        complete_since = _assignment(state, node.epoch).complete_since
        may_take_over = node.complete or not self._is_enabled(Safeguard.COMPLETE_BEFORE_TAKEOVER)
        if not (
            self._is_primary(state, index) or (self._is_backup(state, index) and may_take_over)
        ):
            complete_since = node.epoch + 1
        for other, holder in enumerate(state.nodes):
            if other != index:
                primary = (index, node.incarnation)
                assignment = Assignment(primary, (other, holder.incarnation), complete_since)
                yield f"{index}+{other} since {complete_since}", assignment

    def _adopt_assignment(self, state: State, index: int, node: Node) -> State:
        epoch = len(state.assignments)
        assignment = state.assignments[-1]
        complete = node.complete or not self._is_enabled(Safeguard.COMPLETE_BEFORE_TAKEOVER)
        continuous = complete and node.epoch == epoch - 1 and assignment.complete_since < epoch
        was_primary = self._is_primary(state, index)
        if not self._is_holder(assignment.primary, index, node):
            return _replace_node(state, index, Node(node.incarnation, epoch))
        claim_state = node.claim_state
        if not was_primary and claim_state in "cd":
            claim_state = "u" if self._is_enabled(Safeguard.UNDECIDED_AFTER_TAKEOVER) else "-"
        node = node._replace(
            epoch=epoch,
            complete=True,
            complete_since=node.complete_since if continuous else epoch,
            claim_state=claim_state,
            acknowledged=False,
            filled=False,
        )
        return _replace_node(state, index, node)

    # The caller

    def _attempt_steps(self, state: State, index: int, node: Node) -> Iterator[tuple[str, State]]:
        if "s" not in state.replies:
            return
        attempt = state.replies.index("s")
        for epoch in [state.key_epoch] if state.key_epoch else range(1, len(state.assignments) + 1):
            sent = state._replace(key_epoch=epoch)
            label = f"attempt {attempt} of epoch {epoch} at {index}"
            yield label, self._receive_attempt(
                _with_reply(sent, attempt, "p"), index, node, attempt
            )

    def _receive_attempt(self, state: State, index: int, node: Node, attempt: int) -> State:
        if not self._is_primary(state, index) or self._is_key_epoch_unknown(state, node):
            return self._reject_unserved(state, attempt)
        if node.claim_state == "r":
            return _with_reply(state, attempt, "R")
        if node.claim_state != "-":
            return state
        if state.key_epoch < node.complete_since and self._is_enabled(Safeguard.COMPLETE_SINCE):
            return _with_reply(state, attempt, "N") if attempt == 0 else state
        sequence = node.sequence + 1
        claimed = node._replace(
            claim_state="c", sequence=sequence, attempt=attempt, acknowledged=False
        )
        return _replace_node(state, index, claimed)

    def _is_key_epoch_unknown(self, state: State, node: Node) -> bool:
        """Return whether the epoch of the key is newer than the one that the node has read."""
        return state.key_epoch > node.epoch and self._is_enabled(Safeguard.KEY_EPOCH)

    def _reject_unserved(self, state: State, attempt: int) -> State:
        """Answer an attempt whose shard is not served: not run if it is the first, else nothing."""
        if attempt == 0 or not self._is_enabled(Safeguard.REJECT_FIRST_ATTEMPT_ONLY):
            return _with_reply(state, attempt, "N")
        return state

    # The primary

    def _primary_steps(self, state: State, index: int, node: Node) -> Iterator[tuple[str, State]]:
        replicated_state = "c" if node.claim_state == "d" else node.claim_state
        if not node.filled:
            yield from self._replicate(
                state, ("fill", node.epoch, replicated_state, node.sequence, node.complete_since)
            )
        if node.sequence and not node.acknowledged:
            yield from self._replicate(
                state, ("record", node.epoch, replicated_state, node.sequence, node.complete_since)
            )
        if node.claim_state == "c":
            if self._may_dispatch(node):
                request = ("request", index, node.incarnation, node.sequence, node.attempt)
                after = _replace_node(_send(state, request), index, node._replace(claim_state="d"))
                yield f"{index} dispatches", after
            yield f"{index} rejects the claim", self._release(
                self._reject_unserved(state, node.attempt), index
            )
        if node.claim_state == "d":
            yield f"{index} gets no answer from the target", self._time_out(state, index, node)
        if node.claim_state == "-" and node.acknowledged and state.replies[node.attempt] == "w":
            yield f"{index} answers not run", _with_reply(state, node.attempt, "N")

    def _may_dispatch(self, node: Node) -> bool:
        held = node.acknowledged and node.filled
        return held or not self._is_enabled(Safeguard.ACKNOWLEDGE_BEFORE_DISPATCH)

    def _time_out(self, state: State, index: int, node: Node) -> State:
        if not self._is_enabled(Safeguard.RELEASE_ON_REJECTION):
            return self._release(state, index)
        return _replace_node(state, index, _end_claim(node, "u"))

    def _release(self, state: State, index: int) -> State:
        return _replace_node(state, index, _end_claim(state.nodes[index], "-"))

    def _acknowledge(self, state: State, message: tuple[Any, ...]) -> State:
        """Deliver the acknowledgement of a message to the primary that sent it."""
        kind, epoch, _, sequence, _ = message
        index = state.assignments[epoch - 1].primary[0]
        node = state.nodes[index]
        if node.epoch != epoch or not self._is_primary(state, index):
            return state
        acknowledged = node.acknowledged or node.sequence == sequence
        filled = node.filled or kind == "fill"
        return _replace_node(state, index, node._replace(acknowledged=acknowledged, filled=filled))

    def _receive_target_reply(
        self, state: State, message: tuple[Any, ...]
    ) -> Iterator[tuple[str, State]]:
        kind, index, incarnation, sequence, attempt = message
        node = state.nodes[index]
        restarted = node.incarnation != incarnation
        after = state._replace(messages=state.messages - {message})
        if restarted:
            return
        held = node.claim_state == "d" and node.sequence == sequence
        if kind == "result":
            after = _with_reply(after, attempt, "R")
            if held:
                after = _replace_node(after, index, _end_claim(node, "r"))
        elif held:
            after = _replace_node(_with_reply(after, attempt, "w"), index, _end_claim(node, "-"))
        yield f"{index} gets {kind}", after

    # The backup

    def _replicate(self, state: State, message: tuple[Any, ...]) -> Iterator[tuple[str, State]]:
        """Send a message to the backup, which arrives at once, late or never."""
        yield from self._receive(state, message)
        late_messages = [m for m in state.messages if m[0] in _BACKUP_MESSAGE_KINDS]
        if len(late_messages) < self._configuration.late_messages:
            yield f"{message[0]} is late", _send(state, message)

    def _receive(self, state: State, message: tuple[Any, ...]) -> Iterator[tuple[str, State]]:
        kind, epoch, claim_state, sequence, complete_since = message
        index = state.assignments[epoch - 1].backup[0]
        node = state.nodes[index]
        current = node.epoch == epoch and self._is_backup(state, index)
        if not current and (self._is_enabled(Safeguard.REJECT_OLD_EPOCH) or node.epoch < epoch):
            return
        if not self._is_holder(state.assignments[epoch - 1].backup, index, node):
            return
        after = node
        newer = sequence > node.sequence or not self._is_enabled(Safeguard.SEQUENCE)
        if newer and current:
            after = after._replace(claim_state=claim_state, sequence=sequence)
        if kind == "fill" and current:
            after = after._replace(complete=True, complete_since=complete_since)
        state = _replace_node(state, index, after)
        yield f"{index} receives {kind}, acknowledgement lost", state
        yield f"{index} receives {kind}", self._acknowledge(state, message)

    # The target

    def _target_steps(self, state: State, message: tuple[Any, ...]) -> Iterator[tuple[str, State]]:
        rest = state._replace(messages=state.messages - {message})
        runs = tuple(sorted((*state.runs, message[-1])))
        ran = rest._replace(runs=runs)
        yield "target runs", _send(ran, ("result", *message[1:]))
        yield "target rejects", _send(rest, ("refusal", *message[1:]))

    def _prune(self, state: State) -> State:
        """Remove the messages to backups that can no longer have an effect."""
        messages = frozenset(
            message
            for message in state.messages
            if message[0] not in _BACKUP_MESSAGE_KINDS or self._is_receivable(state, message)
        )
        return state._replace(messages=messages)

    def _is_receivable(self, state: State, message: tuple[Any, ...]) -> bool:
        """Return whether a backup may still accept a message."""
        epoch = message[1]
        if epoch > len(state.assignments):
            return False
        node = state.nodes[state.assignments[epoch - 1].backup[0]]
        return node.epoch <= epoch or not self._is_enabled(Safeguard.REJECT_OLD_EPOCH)


def _assignment(state: State, epoch: int) -> Assignment:
    if 0 < epoch <= len(state.assignments):
        return state.assignments[epoch - 1]
    return Assignment(_NO_HOLDER, _NO_HOLDER, 0)


def _replace_node(state: State, index: int, node: Node) -> State:
    return state._replace(nodes=(*state.nodes[:index], node, *state.nodes[index + 1 :]))


def _send(state: State, message: tuple[Any, ...]) -> State:
    return state._replace(messages=state.messages | {message})


def _with_reply(state: State, attempt: int, reply: str) -> State:
    return state._replace(replies=(*state.replies[:attempt], reply, *state.replies[attempt + 1 :]))


def _end_claim(node: Node, claim_state: str) -> Node:
    return node._replace(claim_state=claim_state, sequence=node.sequence + 1, acknowledged=False)


@attrs.frozen
class Report:
    """The result of a check.

    :param depth: number of steps to the most distant state
    :param violations: steps to a state that violates an invariant, by the name of the invariant
    """

    states: int
    depth: int
    exhaustive: bool
    violations: dict[str, tuple[str, ...]]


def check(
    configuration: Configuration,
    disabled: frozenset[Safeguard] = frozenset(),
    max_states: int = MAX_STATES,
) -> Report:
    """Search the states of a configuration, with some safeguards disabled.

    :param max_states: number of states after which the search stops
    """
    model = key_claims_model(configuration, disabled)
    depths = {model.initial: 0}
    step = model.transitions

    def transitions(state: State) -> list[tuple[str, State]]:
        found = step(state)
        for _, after in found:
            depths.setdefault(after, depths[state] + 1)
        return found

    model.transitions = transitions
    found = check_safety(model, max_states=max_states)
    violations = {
        name: tuple(entry["label"] for entry in verdict["counterexample"][1:])
        for name, verdict in found["properties"].items()
        if verdict["holds"] is False
    }
    return Report(found["reachable_states"], max(depths.values()), found["exhaustive"], violations)


def main(*, thorough: bool = False) -> None:
    """Check every configuration and print the number of states, their depth and the violations.

    :param thorough: also check the configurations whose search takes minutes
    """
    for configuration in CONFIGURATIONS + (LONG_CONFIGURATIONS if thorough else ()):
        started = time.monotonic()
        found = check(configuration)
        seconds = time.monotonic() - started
        verdict = (
            "every invariant holds" if not found.violations else f"violated: {found.violations}"
        )
        if not found.exhaustive:
            verdict += ", search incomplete"
        print(
            f"key claims/{configuration.name}: {found.states} states, depth {found.depth}, "
            f"{seconds:.1f} s: {verdict}"
        )


if __name__ == "__main__":
    main(thorough="--thorough" in sys.argv[1:])
