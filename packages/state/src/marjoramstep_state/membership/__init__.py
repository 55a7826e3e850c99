"""Membership registry of the replicas: soft state."""
