"""Interface towards operators."""
