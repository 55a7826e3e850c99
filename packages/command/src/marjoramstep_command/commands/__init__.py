"""Modules of the commands: a name, a description and a handler each."""
