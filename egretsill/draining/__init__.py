"""When an agent takes no new work, and when it may leave."""
