"""Steps that are shared by several features."""

from __future__ import annotations

from behave import given


@given("a running deployment")
def start_deployment(context):
    context.world.start()


@given("a running deployment with links that can be cut")
def start_relayed(context):
    context.world.start(relayed=True)


@given("the stand-ins")
def start_standins(context):
    context.world.start(standins_only=True)


@given("a running deployment whose gateways link to one engine each")
def start_narrow(context):
    context.world.start(aperture=1)
