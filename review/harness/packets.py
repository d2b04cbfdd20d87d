"""Packets of the platform (PROTOCOL.md, "Packets"): 31 bytes of header, then data."""

import socket
import struct
import zlib
from typing import NamedTuple

HEADER = struct.Struct(">IIIHHIIB4sH")
SYN, ACK, FIN, RST, BOUNCED = 32, 16, 64, 1, 8
MAXIMUM_DATA = 1_200
SUM_KEY = b"review-key"
SEQUENCE_LIMIT = 2**32


class Packet(NamedTuple):
    seq: int
    ack: int
    sum: int
    dport: int
    sport: int
    src: int
    dst: int
    flags: int
    echo: bytes
    data: bytes

    @property
    def expected_sum(self) -> int:
        """The keyed sum over everything but echo, pad and BOUNCED."""
        covered = struct.pack(
            ">IIHHIIBH",
            self.seq,
            self.ack,
            self.dport,
            self.sport,
            self.src,
            self.dst,
            self.flags & ~BOUNCED,
            len(self.data),
        )
        return zlib.crc32(SUM_KEY + covered + self.data)

    def signed(self) -> bytes:
        return self._replace(sum=self.expected_sum).encoded()

    def encoded(self) -> bytes:
        head = HEADER.pack(*self[:9], len(self.data))
        return head + self.data


def decode(datagram: bytes) -> Packet:
    *fields, length = HEADER.unpack_from(datagram)
    data = datagram[HEADER.size :]
    if len(data) != length:
        raise ValueError("length")
    return Packet(*fields, data)


def to_number(host: str) -> int:
    return struct.unpack(">I", socket.inet_aton(host))[0]


def to_text(host: int) -> str:
    return socket.inet_ntoa(struct.pack(">I", host))
