"""HTTP messages and servers shared by the listeners of the daemon."""
