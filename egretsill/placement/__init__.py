"""Which target a request is offered to."""
