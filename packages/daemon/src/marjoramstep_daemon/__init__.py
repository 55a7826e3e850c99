"""Daemon process ``marjoramstepd``."""
