"""The operator's command ``marjoramstep``."""
