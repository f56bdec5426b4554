"""Retries of a deployment of real processes, counted where they arrive."""
