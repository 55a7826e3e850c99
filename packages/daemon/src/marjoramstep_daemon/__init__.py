"""The daemon ``marjoramstepd``."""
