"""Replicated state machine (table, claims, audit trail) and the membership registry."""
