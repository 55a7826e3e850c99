"""HTTP plumbing shared by the peers that speak it."""
