"""The errors that this program raises itself.

A module that calls a library or the system translates their errors to these. The text of each error is one
line for an operator, which says what went wrong and where. The balancer calls neither; it raises ValueError
and TypeError if its caller breaks the interface. The fleet tool derives its own errors from NickelmountError.
"""

from __future__ import annotations


class NickelmountError(Exception):
    """Base class of all errors of this program."""


class SettingsError(NickelmountError):
    """Raised if the settings of a deployment do not have the form that the protocol specifies."""


class ConfigurationError(NickelmountError):
    """Raised if the configuration file is missing or cannot be used."""


class FrameError(NickelmountError):
    """Raised if the simulator's adapter reads input that its protocol does not allow."""


class HttpError(NickelmountError):
    """Raised for an invalid HTTP message; `status` is the status with which a client is answered."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class DiscoveryError(NickelmountError):
    """Raised if a call to discovery has failed."""


class EndpointListError(DiscoveryError):
    """Raised if the answer of discovery is not a valid endpoint list."""


class StaleRevisionError(DiscoveryError):
    """Raised if discovery answers with an older revision than that of the list that the agent has."""

    def __init__(self, revision: int, held_revision: int | None) -> None:
        super().__init__(f"revision {revision} is older than the agent's revision {held_revision}")
        self.revision, self.held_revision = revision, held_revision
