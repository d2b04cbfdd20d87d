"""Stand-ins for the fabric, the platform and backend servers, for tests and trials."""
