"""The errors that this program raises itself.

A module that calls a library or the system translates their errors to these. The text of each error is one
line for an operator, which says what went wrong and where. The balancer calls neither a library nor the
system; it raises ValueError and TypeError if its caller breaks the interface. The fleet tool derives its own
errors from NickelmountError.
"""

from __future__ import annotations


class NickelmountError(Exception):
    """Base class of all errors of this program."""


class SettingsError(NickelmountError):
    """Settings of a deployment that do not have the form that the protocol specifies."""


class ConfigurationError(NickelmountError):
    """A configuration file that is missing or cannot be used."""


class FrameError(NickelmountError):
    """Input of the simulator's adapter that its protocol does not allow."""


class HttpError(NickelmountError):
    """An HTTP message that cannot be used; if it is a request, `status` is the status of the answer."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class DiscoveryError(NickelmountError):
    """A failed call to discovery."""


class EndpointListError(DiscoveryError):
    """An endpoint list from discovery or from the configuration that is not valid."""


class StaleRevisionError(DiscoveryError):
    """An answer of discovery whose revision is older than that of the agent's list."""

    def __init__(self, revision: int, held_revision: int | None) -> None:
        super().__init__(f"revision {revision} is older than the agent's revision {held_revision}")
        self.revision, self.held_revision = revision, held_revision
