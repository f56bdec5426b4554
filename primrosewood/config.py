"""Reads and validates a process's local settings and key files."""

import ssl
from dataclasses import dataclass
from importlib import resources
from pathlib import Path
from typing import Any

import jsonschema_rs
import msgspec

from .errors import SettingsInvalidError
from .gen_keys import Keys
from .gen_node import NodeSettings
from .gen_process import ProcessSettings, TlsSettings

__all__ = (
    'ProcessConfig',
    'check_document',
    'load_config',
    'load_node_settings',
    'make_tls_contexts',
    'require_section',
)


@dataclass(frozen=True, slots=True)
class ProcessConfig:
    """A process's validated settings and keys.

    Attributes
    ----------
    settings
        The settings file.
    keys
        The key file that it names.
    folder
        Folder of the settings file, to which its paths are relative.
    """

    settings: ProcessSettings
    keys: Keys
    folder: Path


def check_document(document: Any, schema: str) -> None:
    """Validate a JSON document against one of the package's schemas.

    Parameters
    ----------
    document
        Decoded JSON.
    schema
        Name of the schema: ``team``, ``process``, ``node`` or ``keys``.

    Raises
    ------
    SettingsInvalidError
        The document does not match; the error has a line for each fault,
        which starts with its path.
    """
    # The document is to be decoded by msgspec: Python's own JSON reader accepts
    # numbers that other processes cannot read.
    faults = [
        f'{_format_path(fault.instance_path)}: {fault.message}'
        for fault in _make_validator(schema).iter_errors(document)
    ]
    if faults:
        raise SettingsInvalidError(sorted(faults))


def load_config(path: str) -> ProcessConfig:
    """Read and validate a settings file and the key file it names.

    Raises
    ------
    SettingsInvalidError
        A file is missing, is not JSON or does not match its schema.
    """
    file = Path(path)
    document = _read_json(file)
    check_document(document, 'process')
    settings = msgspec.convert(document, ProcessSettings)
    key_file = file.parent / settings.key_file
    keys = _read_json(key_file)
    check_document(keys, 'keys')
    return ProcessConfig(settings, msgspec.convert(keys, Keys), file.parent)


def load_node_settings(path: str, role: str) -> NodeSettings:
    """Read and validate settings of a process that calls back ends directly.

    Parameters
    ----------
    path
        Path of the JSON file.
    role
        Section that the process needs: ``entry`` or ``endpoint``.

    Raises
    ------
    SettingsInvalidError
        The file is missing, is not JSON, does not match its schema or lacks
        the section.
    """
    document = _read_json(Path(path))
    check_document(document, 'node')
    settings = msgspec.convert(document, NodeSettings)
    require_section(settings, role)
    return settings


def require_section(
    settings: NodeSettings | ProcessSettings, role: str
) -> None:
    """Check that settings have the section that a program needs.

    Raises
    ------
    SettingsInvalidError
        The section is missing.
    """
    if not getattr(settings, role):
        raise SettingsInvalidError([f'/{role}: this section is missing'])


def make_tls_contexts(
    tls: TlsSettings | None, folder: Path
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return the TLS contexts of servers and clients, in this order.

    Both are None if the settings have no TLS section.
    """
    if not tls:
        return None, None
    certificate_and_key = (
        folder / tls.certificate_file,
        folder / tls.private_key_file,
    )
    authority = tls.authority_file and str(folder / tls.authority_file)
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server.load_cert_chain(*certificate_and_key)
    client = ssl.create_default_context(cafile=authority or None)
    client.load_cert_chain(*certificate_and_key)
    return server, client


def _make_validator(schema: str) -> jsonschema_rs.Draft202012Validator:
    text = resources.files(__package__).joinpath('schema', f'{schema}.json')
    return jsonschema_rs.Draft202012Validator(
        msgspec.json.decode(text.read_bytes())
    )


def _format_path(parts: list[str | int]) -> str:
    return ''.join(f'/{part}' for part in parts) or '/'


def _read_json(file: Path) -> Any:
    try:
        return msgspec.json.decode(file.read_bytes())
    except OSError as error:
        raise SettingsInvalidError(
            [f'{file.name}: {error.strerror}']
        ) from error
    except msgspec.DecodeError as error:
        raise SettingsInvalidError([f'{file.name}: {error}']) from error
