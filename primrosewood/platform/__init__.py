"""The adapter to the users' platform.

Only this package depends on the platform's names and formats: its key-value
service (``store``), the documents that operators and back ends write there
(``documents``, ``discovery``), its headers (``headers``), its callers' HTTP
requests (``frontend``) and HTTP calls to back ends (``engines``).  Decisions,
state and recovery are in the parent package.
"""
