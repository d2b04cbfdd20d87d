from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .._byte_window import ByteWindow, WindowGap


@settings(derandomize=True)
@given(st.binary(max_size=60), st.lists(st.tuples(st.integers(0, 60), st.integers(0, 20))))
def test_overlapping_pieces_rebuild_sequence(data: bytes, pieces: list[tuple[int, int]]) -> None:
    window = ByteWindow()
    for offset, size in [*pieces, (0, len(data))]:
        piece = data[offset : offset + size]
        if offset <= window.end:
            window.append_at(offset, piece)
        else:
            with pytest.raises(WindowGap):
                window.append_at(offset, piece)
    assert window.read(0, 100) == data


@pytest.mark.parametrize(
    ("offset", "data"),
    [
        pytest.param(5, b"", id="gap"),
        pytest.param(-1, b"abc", id="negative"),
        pytest.param(2, b"cdef", id="beyond the end"),
    ],
)
def test_complete_window_rejects_new_bytes(offset: int, data: bytes) -> None:
    window = ByteWindow()
    window.append(b"abcd")
    window.complete = True
    with pytest.raises(WindowGap):
        window.append_at(offset, data)
    assert window.read(0, 10) == b"abcd"


def test_reading_released_bytes_fails() -> None:
    window = ByteWindow()
    window.append(b"abcdef")
    window.release(4)
    window.release(2)
    assert (window.base, window.end, window.size) == (4, 6, 2)
    assert window.read(4, 10) == b"ef"
    with pytest.raises(WindowGap):
        window.read(3, 1)
    window.release(100)
    assert (window.base, window.end) == (6, 6)
