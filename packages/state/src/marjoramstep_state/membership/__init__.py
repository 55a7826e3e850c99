"""Membership registry of the replicas, which is soft state."""
