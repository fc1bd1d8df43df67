"""The errors of the fleet tool. The text of each error is one line for the person who runs the tool."""

from __future__ import annotations

from nickelmount.errors import NickelmountError


class FleetError(NickelmountError):
    """The base class of the errors of the fleet tool."""


class ExperimentError(FleetError):
    """An invalid experiment file or override; the text names the key and the fault."""


class RoleError(FleetError):
    """A failure of the process of a role, which could not execute a command or has ended."""


class RunError(FleetError):
    """A run of an experiment that exceeded a limit and was stopped."""
