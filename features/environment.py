"""Set-up and clean-up of the scenarios."""

from __future__ import annotations

import logging

from support.world import World


def before_all(context):
    logging.getLogger("httpx").setLevel(logging.WARNING)


def before_scenario(context, scenario):
    context.world = World()


def after_scenario(context, scenario):
    if scenario.status.has_failed():
        context.world.print_logs()
    context.world.close()
