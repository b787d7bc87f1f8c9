"""The configuration in force in this process; its version never decreases."""

from __future__ import annotations

from piershore.core.routes.client_limits import ClientLimits
from piershore.core.routes.service_spec import ServiceSpec
from piershore.core.routes.serving_configuration import ServingConfiguration


class CurrentConfiguration:
    """Holds the newest version that this process has received since its start."""

    def __init__(self) -> None:
        self._configuration: ServingConfiguration | None = None

    @property
    def value(self) -> ServingConfiguration | None:
        """The configuration in force; None until one is known."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version in force; 0 until one is known."""
        return self._configuration.version if self._configuration else 0

    @property
    def limits(self) -> ClientLimits:
        """The limits in force."""
        return self._configuration.limits if self._configuration else ClientLimits()

    def service(self, name: str) -> ServiceSpec | None:
        """Return the specification in force of a service, or None if it isn't known."""
        return self._configuration.services.get(name) if self._configuration else None

    def apply_if_newer(self, configuration: ServingConfiguration) -> bool:
        """Put a version in force if it is newer; return whether it is."""
        if configuration.version <= self.version:
            return False
        self._configuration = configuration
        return True
