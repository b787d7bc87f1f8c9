"""The platform's list of endpoints, decoded into the product's types."""

from __future__ import annotations

from collections.abc import Mapping

from piershore.core.fleet.endpoint import Address, Endpoint, EndpointStage
from piershore.platform.exceptions import InvalidObjectError


def decode_endpoint(name: str, spec: Mapping) -> Endpoint:
    """Decode one entry; raise `InvalidObjectError` if a field can't be read."""
    try:
        return Endpoint(
            identity=name,
            service=spec["service"],
            address=Address.parse(spec["address"]),
            data_hall=spec.get("zone", ""),
            slots=int(spec.get("slots") or 1),
            stage=_stage(spec.get("state")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise InvalidObjectError(f"endpoint {name} can't be read: {error!r}") from error


def _stage(state: str | None) -> EndpointStage:
    return EndpointStage.LEAVING if state == "draining" else EndpointStage.READY
