"""Random identifiers, hashes of secrets and digests."""

import hashlib
import hmac
import secrets

import xxhash

from .errors import ErrorKind, RequestFailedError

__all__ = (
    'digest_key',
    'digest_prompt_prefix',
    'hash_secret',
    'make_identifier',
    'match_secret',
    'parse_bearer_key',
    'require_bearer_key',
)

_IDENTIFIER_BYTES = 8
_KEY_SCHEME = 'bearer'
_DIGEST_DIGITS = 32
_TEMPLATE_PREFIX_CHARACTERS = 48


def make_identifier() -> str:
    """Return a new random identifier of 16 hexadecimal digits."""
    return secrets.token_hex(_IDENTIFIER_BYTES)


def hash_secret(secret: str) -> str:
    """Return the SHA-256 hash of a secret in hexadecimal digits."""
    return hashlib.sha256(secret.encode()).hexdigest()


def parse_bearer_key(header: str) -> str | None:
    """Return the key in an ``Authorization`` header, None if there is none.

    An empty key is none: its hash is well known, and configurations that were
    made from an unset variable contain it.
    """
    scheme, _space, key = header.partition(' ')
    if scheme.lower() != _KEY_SCHEME:
        return None
    return key.strip() or None


def require_bearer_key(header: str) -> str:
    """Return the key in an ``Authorization`` header.

    Raises
    ------
    RequestFailedError
        ``unauthenticated`` when there is none.
    """
    key = parse_bearer_key(header)
    if key is None:
        raise RequestFailedError(ErrorKind.unauthenticated)
    return key


def match_secret(secret: str, expected_sha256: str) -> bool:
    """Compare a secret with a stored SHA-256 hash in constant time."""
    return hmac.compare_digest(hash_secret(secret), expected_sha256)


def digest_prompt_prefix(prompt: str) -> str:
    """Return a short digest of the start of a prompt.

    Prompts that are made from one template start alike, and their answers have
    similar lengths. The digest distinguishes templates without storing the
    prompt.
    """
    start = prompt[:_TEMPLATE_PREFIX_CHARACTERS].encode()
    return xxhash.xxh32_hexdigest(start)


def digest_key(*parts: str) -> str:
    """Return a digest of a sequence of strings.

    Each string is prefixed with its length, so that sequences that concatenate
    to the same text have different digests.
    """
    framed = ''.join(f'{len(part)}:{part}' for part in parts)
    return hashlib.sha256(framed.encode()).hexdigest()[:_DIGEST_DIGITS]
