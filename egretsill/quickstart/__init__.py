"""The whole path in one process: two users' sites, their callers, a failure and a drain."""
