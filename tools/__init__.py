"""Tools for working on the project."""
