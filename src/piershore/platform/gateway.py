"""The gateway with the platform's adapters."""

from __future__ import annotations

import trio

from piershore.core.mechanism import Mechanism
from piershore.ingress.daemon import IngressDaemon
from piershore.platform.box_settings_file import load_box_settings
from piershore.platform.engine_mover import EngineMover
from piershore.platform.engine_reports import EngineReports
from piershore.platform.feeds import (
    StoredConfigurationFeed,
    StoredDrainFeed,
    StoredEndpointFeed,
)
from piershore.platform.headers import PlatformDialect


def run_gateway(
    metrics_port: int | None,
    placement_policy: str,
    disabled: frozenset[Mechanism] = frozenset(),
) -> None:
    """Run until SIGTERM; raise `InvalidSettingsError` for faulty settings.

    `disabled` mechanisms are left out, for an experiment.
    """
    settings = load_box_settings()
    daemon = IngressDaemon(
        settings,
        PlatformDialect(),
        EngineMover(),
        StoredConfigurationFeed(settings.store_address),
        StoredEndpointFeed(settings.store_address),
        StoredDrainFeed(settings.store_address),
        EngineReports(),
        metrics_port,
        placement_policy,
        disabled,
    )
    trio.run(daemon.run)
