"""Bringing a view up to date after a start or a pause, and whether it may be relied on."""

from __future__ import annotations

from dataclasses import dataclass, field

from ._messages import MAXIMUM_DIGESTS

ATTEMPT_SECONDS = 0.3
ALONE_SECONDS = 2.0
LONGEST_SECONDS = 5.0
MAXIMUM_QUESTIONS = 128


@dataclass(slots=True)
class _Question:
    block: tuple[int, int]
    generation: int
    parts: set[int] = field(default_factory=set)


class Refresh:
    """Follows the questions by which a process compares its view with others.

    The view is fresh when some member with a fresh view answered for every block of identifiers,
    when nobody with a fresh view answered for `ALONE_SECONDS`, or after `LONGEST_SECONDS`.
    """

    def __init__(self, now: float) -> None:
        self._questions: dict[int, _Question] = {}
        self._generation = 0
        self._finished: set[tuple[int, int]] = set()
        self._fresh = False
        self._heard = False
        self._started = now
        self._next_attempt = now

    def begin(self, now: float) -> None:
        """Stop relying on the view."""
        self._generation += 1
        self._questions.clear()
        self._finished.clear()
        self._fresh = False
        self._heard = False
        self._started = now
        self._next_attempt = now

    def is_fresh(self, now: float) -> bool:
        """Return whether the view may be relied on."""
        if not self._fresh:
            bound = LONGEST_SECONDS if self._heard else ALONE_SECONDS
            self._fresh = now - self._started >= bound
        return self._fresh

    def due_blocks(self, depth: int, now: float) -> list[tuple[int, int]]:
        """Return the blocks to ask about now, as depth and first range; empty when fresh."""
        if self.is_fresh(now) or now < self._next_attempt:
            return []
        self._next_attempt = now + ATTEMPT_SECONDS
        return [each for each in blocks(depth) if each not in self._finished]

    def ask(self, sequence: int, block: tuple[int, int]) -> None:
        """Note that a member was asked about a block."""
        if len(self._questions) >= MAXIMUM_QUESTIONS:
            del self._questions[next(iter(self._questions))]
        self._questions[sequence] = _Question(block, self._generation)

    def answered(self, sequence: int, part: int, parts: int, complete: bool) -> None:
        """Note one part of an answer."""
        question = self._questions.get(sequence)
        if question is None or question.generation != self._generation or not complete:
            return
        self._heard = True
        question.parts.add(part)
        if len(question.parts) < parts:
            return
        del self._questions[sequence]
        self._finished.add(question.block)
        depth = question.block[0]
        self._fresh = self._fresh or all(each in self._finished for each in blocks(depth))


def blocks(depth: int) -> list[tuple[int, int]]:
    """Return the blocks of ranges that one question each covers."""
    return [(depth, first) for first in range(0, 2**depth, MAXIMUM_DIGESTS)]
