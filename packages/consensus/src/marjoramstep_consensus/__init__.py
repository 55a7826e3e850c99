"""Replicated log: pure replication core, log and snapshot storage."""
