"""The errors of the fleet tool. The text of each is one line for the person who runs it."""

from __future__ import annotations

from nickelmount.errors import NickelmountError


class FleetError(NickelmountError):
    """The root of the tool's own errors."""


class ExperimentError(FleetError):
    """An experiment file cannot be used; the text names the key and the fault."""


class RoleError(FleetError):
    """The process of a role could not carry out a command, or has ended."""


class RunError(FleetError):
    """A run of an experiment was given up."""
