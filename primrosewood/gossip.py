"""Exchanges settings between connected processes.

Heartbeats carry a digest of the settings. A process that receives a different
digest requests the records that it lacks.
"""

from . import gen_wire as wire
from .codec import Message
from .link import Link
from .settings import SettingsStore

__all__ = ('handle_settings_message', 'heartbeat')


def heartbeat(store: SettingsStore, load: wire.Load | None = None) -> Message:
    """Return a heartbeat that carries the digest of the settings."""
    return wire.Heartbeat(digest=store.digest, load=load)


def handle_settings_message(
    message: Message, link: Link, store: SettingsStore
) -> bool:
    """Handle a message about settings.

    When the digests differ, each side requests the records that it lacks. An
    accepted setting thus spreads from any process that has it, even during an
    outage of the key-value service.

    Parameters
    ----------
    message
        Any message.
    link
        Connection on which it arrived, used for the replies.
    store
        Settings in force.

    Returns
    -------
    bool
        Whether the message was about settings.
    """
    match message:
        case wire.Heartbeat():
            if message.digest != store.digest:
                link.send(wire.SettingsPull(store.revisions))
        case wire.SettingsPull():
            for record in store.records_newer_than(message.revisions):
                link.send(wire.SettingsPush([record]))
        case wire.SettingsPush():
            for record in message.records:
                store.merge(record)
        case _:
            return False
    return True
