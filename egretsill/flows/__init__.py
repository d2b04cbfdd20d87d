"""Callers' flows at the agent that owns them."""
