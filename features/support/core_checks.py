"""Helpers for property-based tests of the gateway's core."""

from __future__ import annotations

from hypothesis import given as given_data
from hypothesis import settings

from piershore.core.fleet.endpoint import Address, Endpoint, EndpointStage
from piershore.core.routes.service_spec import EngineSpec
from piershore.errors import PiershoreError

ENGINE = EngineSpec(
    slots=24,
    memory_tokens=34_000,
    token_bytes=327_680,
    link_bytes_per_second=5.9e9,
    can_move=True,
    can_back_up=True,
)


def checked(*strategies, examples=300):
    """Return a decorator that runs a check on generated data, the same in each run."""

    def decorate(check):
        drawn = given_data(*strategies)(check)
        settings(max_examples=examples, derandomize=True, deadline=None, database=None)(
            drawn
        )()

    return decorate


def check_coded_errors(parse, inputs):
    """Check that parsing generated inputs raises only errors with a code."""

    @checked(inputs)
    def check(data):
        try:
            parse(data)
        except PiershoreError as error:
            assert error.code


def endpoint(identity, stage=EndpointStage.READY, data_hall="h0"):
    return Endpoint(identity, "s", Address("h", 1), data_hall, 24, stage)


def fleet_of(count):
    for number in range(count):
        address = Address("10.0.0.1", number + 1)
        yield Endpoint(
            f"i-{number}", "model", address, "ikeja", 24, EndpointStage.READY
        )
