"""Trace replay, stand-in backend servers and measuring tools."""
