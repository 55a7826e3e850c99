"""Interface towards other nodes."""
