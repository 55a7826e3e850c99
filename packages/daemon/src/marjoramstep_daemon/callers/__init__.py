"""Interface towards callers."""
