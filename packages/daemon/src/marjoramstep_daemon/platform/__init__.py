"""Interface towards the platform."""
