"""Steps for documents in chunks: pure functions with generated documents."""

from __future__ import annotations

import zlib
from random import Random

import orjson
from behave import then, when
from hypothesis import strategies as st
from support.core_checks import checked

from piershore.core.documents.compression import LARGEST_BYTES
from piershore.core.documents.document import Document, DocumentPart
from piershore.core.documents.document_assembly import DocumentAssembly
from piershore.core.documents.exceptions import InvalidPartsError
from piershore.core.documents.parts_reply import PartsReply, REPLY_BYTES
from piershore.core.documents.parts_request import PartsRequest
from piershore.core.documents.splitting import ENTRIES_A_PART, join, MOST_ENTRIES, split

ENTRIES = st.lists(st.dictionaries(st.text(max_size=4), st.integers(0, 9), max_size=3))
FIELDS = st.dictionaries(st.text(max_size=5), ENTRIES | st.integers(0, 9) | st.none())
MOST_CHANGED_PARTS = 2
MOST_VERSIONS = 4
BREAKS = 0.3
MOST_READS = 400


def document(fields, revision=1):
    return Document(revision, tuple(split(fields)))


@then("any document is the same after it was split and joined")
def check_round_trip(context):
    @checked(FIELDS)
    def check(fields):
        assert join(split(fields)) == fields


@then("after an entry was added or removed all chunks but a few are the same")
def check_stability(context):
    @checked(st.integers(0, 10_000))
    def check(seed):
        random = Random(seed)
        entries = [random.getrandbits(40) for _ in range(random.randrange(1, 800))]
        before = {part.digest for part in split({"entries": entries})}
        place = random.randrange(len(entries))
        if random.random() < 0.5:
            del entries[place]
        else:
            entries.insert(place, random.getrandbits(40))
        changed = {part.digest for part in split({"entries": entries})} - before
        # A chunk that ends at its maximum size shifts all ends up to the next one that
        # depends on contents.
        longest = MOST_ENTRIES // ENTRIES_A_PART
        assert len(changed) <= MOST_CHANGED_PARTS + longest, len(changed)


@then("a document assembled from any peers, with lost replies, is one that a peer had")
@then("each reply is bounded in size, and each but the last has new chunks")
def check_assembly(context):
    @checked(st.integers(0, 10_000))
    def check(seed):
        random = Random(seed)
        versions = list(some_versions(random))
        own = versions[0] if random.random() < 0.5 else None
        assembly = DocumentAssembly()
        for _ in range(MOST_READS):
            request = assembly.request(own)
            peer = random.choice(versions[1:])
            reply = PartsReply.of(peer, PartsRequest.decode(request.encode()))
            sizes = [len(part.data) for part in reply.parts]
            assert sum(sizes[:-1]) < REPLY_BYTES
            if random.random() < BREAKS:
                continue
            found = assembly.take(PartsReply.decode(reply.encode()), own)
            if found is not None:
                assert found == peer
                return
            assert reply.parts
        raise AssertionError("the document was never complete")


def some_versions(random):
    entries = [f"{random.getrandbits(64):x}" * 40 for _ in range(random.randrange(900))]
    for revision in range(1, MOST_VERSIONS + 1):
        entries.insert(random.randrange(len(entries) + 1), f"new {revision}")
        yield document({"version": revision, "entries": list(entries)}, revision)


@when("a peer replies with a chunk whose digest it doesn't list")
def answer_with_other(context):
    context.assembly = DocumentAssembly()
    context.request = context.assembly.request(None)
    named = document({"version": 1})
    reply = PartsReply(1, named.digests, (DocumentPart.of(b'{"version":2}'),))
    context.found = context.assembly.take(reply, None)


@then("the document isn't complete and the next request is the same")
def check_not_whole(context):
    assert context.found is None
    assert context.assembly.request(None) == context.request


@then("decoding a request or a reply raises only errors with a code")
def check_messages(context):
    packed = st.binary().map(zlib.compress)
    values = st.recursive(
        st.none() | st.integers(-(2**63), 2**63) | st.text(),
        lambda inner: st.lists(inner),
    ).map(lambda value: zlib.compress(orjson.dumps(value, default=str)))

    @checked(st.binary() | packed | values)
    def check(data):
        for message in (PartsRequest, PartsReply):
            try:
                message.decode(data)
            except InvalidPartsError as error:
                assert error.code


@then("a reply that decompresses to more than 16 MB is refused")
def check_bound(context):
    try:
        PartsReply.decode(zlib.compress(bytes(LARGEST_BYTES + 1)))
    except InvalidPartsError:
        return
    raise AssertionError("it was accepted")
