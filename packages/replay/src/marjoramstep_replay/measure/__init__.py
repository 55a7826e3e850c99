"""Tools that measure costs on one machine."""
