"""Interface to the engine that an endpoint process follows."""

from dataclasses import dataclass
from typing import Protocol

from .backendstate import EngineState
from .errors import BackendCutError
from .moves import EngineRun

__all__ = (
    'EngineAbsentError',
    'EngineLocation',
    'EngineReading',
    'MovableEngine',
)


class EngineAbsentError(BackendCutError):
    """Nothing listens at the address of the engine."""


@dataclass(frozen=True, slots=True)
class EngineReading:
    """An engine's state and running generations at one time.

    Attributes
    ----------
    leaves_in
        Seconds until the engine is gone, None when it does not say.
    boot
        Identifies the start of the engine's process, 0 when it does not say.
    """

    state: EngineState
    runs: tuple[EngineRun, ...] = ()
    leaves_in: float | None = None
    boot: int = 0


class MovableEngine(Protocol):
    """The engine on this process's VM."""

    @property
    def address(self) -> str:
        """Address of the engine as ``host:port``."""

    async def read(self) -> EngineReading:
        """Read the current state and the running generations.

        Raises
        ------
        EngineAbsentError
            Nothing listens at its address.
        BackendCutError
            The engine does not answer.
        BackendPausedError
            The engine has asked for a pause.
        """

    async def identify(self) -> str:
        """Return the engine's name, which changes with each of its starts.

        Raises
        ------
        BackendCutError
            The engine does not answer.
        BackendPausedError
            The engine has asked for a pause.
        """

    async def copy(self, run: EngineRun, target: str, last: bool) -> str:
        """Copy a generation to another engine and return the copy's handle.

        Parameters
        ----------
        last
            Whether to stop the generation here, so that it continues on the
            target.

        Raises
        ------
        BackendPausedError
            Nothing was ordered, as the engine has asked for a pause.
        RunStoppedError
            The generation was stopped, but could not be copied.
        NotRunError
            The generation no longer runs here, or the target has no free
            capacity.
        BackendCutError
            The engine does not answer; the order may have taken effect.
        """


@dataclass(frozen=True, slots=True)
class EngineLocation:
    """Service and failure domain of an engine."""

    service: str
    failure_domain: str
