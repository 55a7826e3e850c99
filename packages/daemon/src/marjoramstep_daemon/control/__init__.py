"""Control replicas, and the client that nodes use to reach them."""
