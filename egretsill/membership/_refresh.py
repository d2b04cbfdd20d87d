"""Refreshing the view after a start or a scheduling pause, and tracking whether it is fresh."""

from __future__ import annotations

from dataclasses import dataclass, field

from ._messages import MAXIMUM_DIGESTS

ATTEMPT_SECONDS = 0.3
NO_ANSWER_SECONDS = 2.0
MAXIMUM_REFRESH_SECONDS = 5.0
MAXIMUM_QUESTIONS = 128


@dataclass(slots=True)
class _Question:
    block: tuple[int, int]
    generation: int
    parts: set[int] = field(default_factory=set)


class Refresh:
    """Tracks the questions by which a process compares its view with those of other members.

    The view is fresh once members with a fresh view answered for every block of identifiers, or
    after `NO_ANSWER_SECONDS` without any such answer, or after `MAXIMUM_REFRESH_SECONDS`.
    """

    def __init__(self, now: float) -> None:
        self._questions: dict[int, _Question] = {}
        self._generation = 0
        self._finished: set[tuple[int, int]] = set()
        self._fresh = False
        self._has_answer = False
        self._started = now
        self._next_attempt = now

    def begin(self, now: float) -> None:
        """Mark the view as stale and start a new refresh."""
        self._generation += 1
        self._questions.clear()
        self._finished.clear()
        self._fresh = False
        self._has_answer = False
        self._started = now
        self._next_attempt = now

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is up to date enough to be used."""
        if not self._fresh:
            bound = MAXIMUM_REFRESH_SECONDS if self._has_answer else NO_ANSWER_SECONDS
            self._fresh = now - self._started >= bound
        return self._fresh

    def due_blocks(self, depth: int, now: float) -> list[tuple[int, int]]:
        """Return the blocks to request now, as depth and first range; empty if fresh or not due."""
        if self.is_fresh(now) or now < self._next_attempt:
            return []
        self._next_attempt = now + ATTEMPT_SECONDS
        return [each for each in blocks(depth) if each not in self._finished]

    def note_question(self, sequence: int, block: tuple[int, int]) -> None:
        """Record a question to a member about a block."""
        if len(self._questions) >= MAXIMUM_QUESTIONS:
            del self._questions[next(iter(self._questions))]
        self._questions[sequence] = _Question(block, self._generation)

    def on_answer(self, sequence: int, part: int, parts: int, complete: bool) -> None:
        """Record one part of an answer; incomplete answers are ignored."""
        question = self._questions.get(sequence)
        if question is None or question.generation != self._generation or not complete:
            return
        self._has_answer = True
        question.parts.add(part)
        if len(question.parts) < parts:
            return
        del self._questions[sequence]
        self._finished.add(question.block)
        depth = question.block[0]
        self._fresh = self._fresh or all(each in self._finished for each in blocks(depth))


def blocks(depth: int) -> list[tuple[int, int]]:
    """Return the blocks of ranges, each of which one question covers."""
    return [(depth, first) for first in range(0, 2**depth, MAXIMUM_DIGESTS)]
