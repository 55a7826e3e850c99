"""Replicas of the control plane, and the client with which nodes reach them."""
