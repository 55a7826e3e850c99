"""Plain functions for the command line, one module for each sub-command."""
