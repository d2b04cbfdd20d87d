"""A process that steers by service address, as a balancer or as an agent."""

from ._main import run
from ._node import Node, StoreFactory

__all__ = ["Node", "StoreFactory", "run"]
