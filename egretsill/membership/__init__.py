"""Which processes of the fleet answer."""
