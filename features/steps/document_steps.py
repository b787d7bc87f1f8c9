"""Steps for documents in chunks: pure functions with generated documents."""

from __future__ import annotations

import zlib
from random import Random

import orjson
from behave import then, when
from hypothesis import strategies as st
from support.core_checks import checked

from piershore.core.documents.chunks_reply import ChunksReply, TARGET_REPLY_BYTES
from piershore.core.documents.chunks_request import ChunksRequest
from piershore.core.documents.compression import MAX_DECOMPRESSED_BYTES
from piershore.core.documents.document import Document, DocumentChunk
from piershore.core.documents.document_assembler import DocumentAssembler
from piershore.core.documents.exceptions import InvalidChunksError
from piershore.core.documents.splitting import (
    join,
    MAX_ENTRIES_PER_CHUNK,
    MEAN_ENTRIES_PER_CHUNK,
    split,
)

ENTRIES = st.lists(st.dictionaries(st.text(max_size=4), st.integers(0, 9), max_size=3))
FIELDS = st.dictionaries(st.text(max_size=5), ENTRIES | st.integers(0, 9) | st.none())
MAX_CHANGED_CHUNKS = 2
VERSION_COUNT = 4
LOST_REPLY_SHARE = 0.3
MAX_READS = 400


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
        before = {chunk.digest for chunk in split({"entries": entries})}
        position = random.randrange(len(entries))
        if random.random() < 0.5:
            del entries[position]
        else:
            entries.insert(position, random.getrandbits(40))
        changed = {chunk.digest for chunk in split({"entries": entries})} - before
        # A chunk that ends at its maximum size shifts all ends up to the next one that
        # depends on contents.
        max_shifted_chunks = MAX_ENTRIES_PER_CHUNK // MEAN_ENTRIES_PER_CHUNK
        assert len(changed) <= MAX_CHANGED_CHUNKS + max_shifted_chunks, len(changed)


@then("a document assembled from any peers, with lost replies, is one that a peer had")
@then("each reply is bounded in size, and each but the last has new chunks")
def check_assembly(context):
    @checked(st.integers(0, 10_000))
    def check(seed):
        random = Random(seed)
        versions = list(generate_versions(random))
        own = versions[0] if random.random() < 0.5 else None
        assembler = DocumentAssembler()
        for _ in range(MAX_READS):
            request = assembler.request(own)
            peer = random.choice(versions[1:])
            reply = ChunksReply.of(peer, ChunksRequest.decode(request.encode()))
            sizes = [len(chunk.data) for chunk in reply.chunks]
            assert sum(sizes[:-1]) < TARGET_REPLY_BYTES
            if random.random() < LOST_REPLY_SHARE:
                continue
            found = assembler.receive_reply(ChunksReply.decode(reply.encode()), own)
            if found is not None:
                assert found == peer
                return
            assert reply.chunks
        raise AssertionError("the document was never complete")


def generate_versions(random):
    entries = [f"{random.getrandbits(64):x}" * 40 for _ in range(random.randrange(900))]
    for revision in range(1, VERSION_COUNT + 1):
        entries.insert(random.randrange(len(entries) + 1), f"new {revision}")
        yield document({"version": revision, "entries": list(entries)}, revision)


@when("a peer replies with a chunk whose digest it doesn't list")
def reply_with_unlisted_chunk(context):
    context.assembler = DocumentAssembler()
    context.request = context.assembler.request(None)
    listed = document({"version": 1})
    reply = ChunksReply(1, listed.digests, (DocumentChunk.of(b'{"version":2}'),))
    context.found = context.assembler.receive_reply(reply, None)


@then("the document isn't complete and the next request is the same")
def check_incomplete(context):
    assert context.found is None
    assert context.assembler.request(None) == context.request


@then("decoding a request or a reply raises only errors with a code")
def check_messages(context):
    packed = st.binary().map(zlib.compress)
    values = st.recursive(
        st.none() | st.integers(-(2**63), 2**63) | st.text(),
        lambda inner: st.lists(inner),
    ).map(lambda value: zlib.compress(orjson.dumps(value, default=str)))

    @checked(st.binary() | packed | values)
    def check(data):
        for message in (ChunksRequest, ChunksReply):
            try:
                message.decode(data)
            except InvalidChunksError as error:
                assert error.code


@then("a reply that decompresses to more than 16 MB is refused")
def check_bound(context):
    try:
        ChunksReply.decode(zlib.compress(bytes(MAX_DECOMPRESSED_BYTES + 1)))
    except InvalidChunksError:
        return
    raise AssertionError("it was accepted")
