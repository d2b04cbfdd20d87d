"""Validated INI settings of the daemons and of the fleet."""
