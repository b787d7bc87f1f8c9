"""Steps for the parsers of input from outside the process."""

from __future__ import annotations

from behave import then
from hypothesis import strategies as st
from support.core_checks import check_coded_errors

from piershore.core.configuration.codec import decode_spec, structure
from piershore.core.configuration.objects import ObjectKind
from piershore.core.ownership.minted_key import MintedKey
from piershore.core.streams.event_id import EventId
from piershore.gateway.chat_request import ChatRequest
from piershore.settings.document import read_documents

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)

PARSERS = {
    "the event id": (EventId.decode, st.text()),
    "the idempotency key": (MintedKey.parse, st.text() | st.uuids().map(str)),
    "a settings file": (lambda text: read_documents("f", text), st.text()),
    "a stored object": (
        lambda value: decode_spec(ObjectKind.ACCOUNT, value),
        st.binary(),
    ),
    "a caller's body": (lambda data: structure(ChatRequest, data), JSON_VALUES),
}


@then("parsing {parser} raises only errors with a code")
def check_parser(context, parser):
    check_coded_errors(*PARSERS[parser])
