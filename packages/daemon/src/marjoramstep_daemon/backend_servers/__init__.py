"""Interface towards the own backend server."""
