"""Engines as targets of moves, for tests."""

from primrosewood.backendstate import BackendIdentity
from primrosewood.moves import MoveTarget


def make_target(address, failure_domain, free_tokens, receiving=False):
    """Return a target whose name is its address."""
    identity = BackendIdentity('s', address, 1)
    return MoveTarget(identity, address, failure_domain, free_tokens, receiving)
