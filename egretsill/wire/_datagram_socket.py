"""Closing UDP sockets that a task may be waiting for."""

from __future__ import annotations

import socket

import trio


def close_datagram_socket(datagram_socket: socket.socket) -> None:
    """Close a socket and wake the task that reads it, if there is one."""
    if datagram_socket.fileno() < 0:
        return
    # Before the loop runs there is no reader to wake.
    if trio.lowlevel.in_trio_run():
        trio.lowlevel.notify_closing(datagram_socket)
    datagram_socket.close()
