"""Small stand-ins for the fabric, the platform and backend servers."""
