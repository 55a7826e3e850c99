"""Measuring tools for the control replicas, on real processes and data folders."""
