"""Claims of requests that may not be repeated."""
