"""The errors that this program raises on purpose.

Errors of libraries and of the system are mapped to these at the edge where they occur. The text of each is
one line for an operator: what went wrong, and where. The balancer, which knows no edge, raises ValueError and
TypeError where its caller breaks the interface. The fleet tool adds its own to this tree.
"""

from __future__ import annotations


class NickelmountError(Exception):
    """The root of the tree."""


class SettingsError(NickelmountError):
    """The settings of a deployment do not have the form of the protocol."""


class ConfigurationError(NickelmountError):
    """The configuration file is missing or cannot be used."""


class FrameError(NickelmountError):
    """The input of the simulator's adapter is not what its wire allows."""


class HttpError(NickelmountError):
    """Bytes that are no HTTP message of use; `status` is the one that a client is answered with."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class DiscoveryError(NickelmountError):
    """A call to discovery failed."""


class EndpointListError(DiscoveryError):
    """The answer of discovery is no endpoint list."""


class StaleRevisionError(DiscoveryError):
    """Discovery answered with a revision older than the one that is held."""

    def __init__(self, revision: int, held_revision: int | None) -> None:
        super().__init__(f"revision {revision} is older than {held_revision}")
        self.revision, self.held_revision = revision, held_revision
