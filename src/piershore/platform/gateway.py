"""Runs the gateway with the platform's adapters."""

from __future__ import annotations

import trio

from piershore.boot_clock import BootClock
from piershore.core.fleet.policies import Policies
from piershore.ingress.daemon import IngressDaemon
from piershore.platform.box_settings_file import load_box_settings
from piershore.platform.engine_mover import EngineMover
from piershore.platform.engine_prober import EngineProber
from piershore.platform.feeds import (
    StoredConfigurationFeed,
    StoredDrainFeed,
    StoredEndpointFeed,
)
from piershore.platform.headers import PlatformDialect


def run_gateway(metrics_port: int | None, policies: Policies) -> None:
    """Run until SIGTERM; raise `InvalidSettingsError` if the settings are invalid."""
    settings = load_box_settings()
    daemon = IngressDaemon(
        settings,
        PlatformDialect(),
        EngineMover(),
        StoredConfigurationFeed(settings.store_address),
        StoredEndpointFeed(settings.store_address),
        StoredDrainFeed(settings.store_address),
        EngineProber(),
        metrics_port,
        policies,
    )
    trio.run(daemon.run, clock=BootClock())
