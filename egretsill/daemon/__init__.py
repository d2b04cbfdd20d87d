"""The daemon: one composition root for both roles."""
