"""Restarts of entries under load: components, load, history and checker."""
