"""Serving system for generations of unknown length on busy engines."""
