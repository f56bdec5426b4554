"""Runs the system on the users' platform.

Everything that knows the platform's names is in this folder: its key-value
service (``store``), what operators and engines write there (``documents``),
headers (``headers``), callers' HTTP (``front``) and calls to back ends
(``engines``).  Decisions, state and recovery are the package's.
"""
