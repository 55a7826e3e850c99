"""Shared types of marjoramstep: clock, ids, states, errors and the table model."""
