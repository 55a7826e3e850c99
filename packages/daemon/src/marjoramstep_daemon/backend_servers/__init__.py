"""Connection of a node to its local backend server."""
