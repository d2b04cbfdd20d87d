"""Closing UDP sockets on which a task may be waiting."""

from __future__ import annotations

import socket

import trio


def close_datagram_socket(datagram_socket: socket.socket) -> None:
    """Close a socket and wake the task that reads it, if there is one."""
    if datagram_socket.fileno() < 0:
        return
    # Outside a trio loop no task can be waiting, and `notify_closing` would raise an error.
    if trio.lowlevel.in_trio_run():
        trio.lowlevel.notify_closing(datagram_socket)
    datagram_socket.close()
