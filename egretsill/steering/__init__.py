"""Which agent a packet goes to, and the balancer that sends it there."""
