"""Define the typed errors of wasabispur."""

from __future__ import annotations


class WasabispurError(Exception):
    """Report a failure with a message and a remedy for the reader."""

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}"

    @property
    def kind(self) -> str:
        """Return the class name without its suffix Error, for callers and logs."""
        return type(self).__name__.removesuffix("Error")


class ChartError(WasabispurError):
    """Report a chart that is missing, malformed or inconsistent with the code."""


class UnexpectedEventError(WasabispurError):
    """Report an event that a chart neither handles nor ignores in its state."""


class UnhandledMessageError(WasabispurError):
    """Report a message that a component has no handler for."""


class SettingsError(WasabispurError):
    """Report a settings file that is missing, malformed or inconsistent."""


class ProtocolError(WasabispurError):
    """Report a message from another process that can't be decoded."""


class MailboxFullError(WasabispurError):
    """Report an actor whose mailbox has reached its limit."""


class StoreError(WasabispurError):
    """Report a table service or object store that can't serve a call."""


class AddressInUseError(WasabispurError):
    """Report a port that another process already listens on."""
