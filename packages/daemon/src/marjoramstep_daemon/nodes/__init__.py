"""Calls to and from other nodes."""
