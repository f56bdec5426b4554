"""Names that processes give to requests, attempts and themselves."""

import hashlib
import hmac
import secrets

import xxhash

__all__ = (
    'digest_key',
    'digest_prompt_prefix',
    'hash_secret',
    'make_identifier',
    'match_secret',
)

_IDENTIFIER_BYTES = 8
_DIGEST_DIGITS = 32
_TEMPLATE_CHARACTERS = 48


def make_identifier() -> str:
    """Return a new random identifier of 16 hexadecimal digits."""
    return secrets.token_hex(_IDENTIFIER_BYTES)


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a key in hexadecimal digits."""
    return hashlib.sha256(secret.encode()).hexdigest()


def match_secret(secret: str, expected_sha256: str) -> bool:
    """Compare a key with a stored hash in constant time."""
    return hmac.compare_digest(hash_secret(secret), expected_sha256)


def digest_prompt_prefix(prompt: str) -> str:
    """Return a short digest of what a prompt begins with.

    Prompts made from one template begin alike, and their answers are of like
    lengths; the digest tells templates apart without keeping any prompt.
    """
    start = prompt[:_TEMPLATE_CHARACTERS].encode()
    return xxhash.xxh32_hexdigest(start)


def digest_key(*parts: str) -> str:
    """Return a digest of the parts that no other list of parts shares."""
    framed = ''.join(f'{len(part)}:{part}' for part in parts)
    return hashlib.sha256(framed.encode()).hexdigest()[:_DIGEST_DIGITS]
