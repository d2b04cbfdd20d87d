"""Encoding of message data classes as msgpack arrays.

A message is an array of a type tag and the fields in order. Fields may be None, bool, int, float,
str, bytes, or (nested) tuples of these. Each protocol makes one `Codec` from its message data
classes; any other input raises `MalformedMessage`.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any, Generic, TypeVar, get_type_hints

import msgpack

MAXIMUM_MESSAGE_BYTES = 1_048_576 + 65_536
FIRST_BUFFER_BYTES = 1_024

MessageT = TypeVar("MessageT")


class MalformedMessage(Exception):
    """Bytes that are not a message of the protocol.

    Attributes:
        protocol: name of the protocol that was expected.
        reason: short description of the error.
    """

    def __init__(self, protocol: str, reason: str) -> None:
        super().__init__(f"malformed {protocol} message: {reason}")
        self.protocol = protocol
        self.reason = reason


class Codec(Generic[MessageT]):
    """Encodes and decodes the messages of one protocol.

    Args:
        protocol: name for errors and counters.
        types: message data class for each tag; a tag is never reused for different fields.
    """

    def __init__(self, protocol: str, types: Mapping[int, type[MessageT]]) -> None:
        self._protocol = protocol
        self._tags = {message_type: tag for tag, message_type in types.items()}
        self._types = dict(types)
        self._fields = {
            message_type: tuple(each.name for each in dataclasses.fields(message_type))  # type: ignore[arg-type]
            for message_type in types.values()
        }
        self._checks = {
            message_type: tuple(
                _accepted_types(get_type_hints(message_type)[name])
                for name in self._fields[message_type]
            )
            for message_type in types.values()
        }

    @property
    def protocol(self) -> str:
        """Return the name of the protocol."""
        return self._protocol

    def encode(self, message: MessageT) -> bytes:
        """Return one message encoded as bytes."""
        message_type = type(message)
        values = [getattr(message, name) for name in self._fields[message_type]]
        return msgpack.packb([self._tags[message_type], *values], use_bin_type=True)  # type: ignore[no-any-return]

    def decode(self, data: bytes) -> MessageT:
        """Return the one message in `data`.

        Raises:
            MalformedMessage: if `data` is anything else.
        """
        try:
            array = msgpack.unpackb(data, use_list=False, raw=False, strict_map_key=False)
        except Exception as error:
            raise MalformedMessage(self._protocol, type(error).__name__) from error
        return self.build(array)

    def build(self, array: Any) -> MessageT:
        """Convert an unpacked array to a message.

        Raises:
            MalformedMessage: if the tag or a field is not as declared.
        """
        if not isinstance(array, tuple) or not array or not isinstance(array[0], int):
            raise MalformedMessage(self._protocol, "no tagged array")
        message_type = self._types.get(array[0])
        if message_type is None:
            raise MalformedMessage(self._protocol, "unknown tag")
        checks = self._checks[message_type]
        if len(array) != len(checks) + 1:
            raise MalformedMessage(self._protocol, "wrong number of fields")
        for value, accepted in zip(array[1:], checks, strict=True):
            if type(value) not in accepted:
                raise MalformedMessage(self._protocol, "field of the wrong type")
        try:
            return message_type(*array[1:])
        except (TypeError, ValueError) as error:
            raise MalformedMessage(self._protocol, type(error).__name__) from error


class StreamDecoder(Generic[MessageT]):
    """Splits a byte stream into the messages of one protocol.

    An unpacker takes about 40 KB of memory, so it is kept only while a message is incomplete.
    """

    def __init__(self, codec: Codec[MessageT]) -> None:
        self._codec = codec
        self._unpacker: msgpack.Unpacker | None = None
        self._fed_bytes = 0
        self._decoded_bytes = 0

    def feed(self, data: bytes) -> Iterator[MessageT]:
        """Yield each message completed by `data`.

        Raises:
            MalformedMessage: if the stream contains anything else; it can't be decoded further.
        """
        if self._unpacker is None and not data:
            return
        try:
            unpacker = self._new_unpacker() if self._unpacker is None else self._unpacker
            unpacker.feed(data)
            self._fed_bytes += len(data)
            for array in unpacker:
                self._decoded_bytes = unpacker.tell()
                yield self._codec.build(array)
        except MalformedMessage:
            raise
        except Exception as error:
            raise MalformedMessage(self._codec.protocol, type(error).__name__) from error
        if self._decoded_bytes == self._fed_bytes:
            self._unpacker = None

    def _new_unpacker(self) -> msgpack.Unpacker:
        self._fed_bytes = 0
        self._decoded_bytes = 0
        self._unpacker = msgpack.Unpacker(
            use_list=False,
            raw=False,
            strict_map_key=False,
            read_size=FIRST_BUFFER_BYTES,
            max_buffer_size=2 * MAXIMUM_MESSAGE_BYTES,
            max_bin_len=MAXIMUM_MESSAGE_BYTES,
            max_str_len=MAXIMUM_MESSAGE_BYTES,
        )
        return self._unpacker


def _accepted_types(hint: Any) -> frozenset[type]:
    """Return the unpacked types that are accepted for a field with this annotation."""
    arguments = getattr(hint, "__args__", None)
    origin = getattr(hint, "__origin__", None)
    if origin is tuple:
        return frozenset({tuple})
    if arguments is not None and origin is None:
        return frozenset().union(*(_accepted_types(each) for each in arguments))
    if hint is float:
        return frozenset({float, int})
    if isinstance(hint, type) and issubclass(hint, tuple):
        return frozenset({tuple})
    return frozenset({hint})
