"""HTTP interfaces for operators, metrics and status."""
