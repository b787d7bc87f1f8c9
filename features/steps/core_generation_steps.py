"""Steps for generations and their readers."""

from __future__ import annotations

from random import Random

import trio
from behave import then

from piershore.agent.generation_runner import GenerationRunner
from piershore.core.admission.engine_queue import EngineQueue
from piershore.core.configuration.objects import AdmissionSettings
from piershore.core.streams.generation import Ending, Generation
from piershore.settings.process_settings import AgentSettings
from piershore.wire.link_pb2 import Submit


@then("each reader of {count:d} random histories gets tokens once and in order")
def check_streams(context, count):
    for seed in range(count):
        random = Random(seed)
        generation = Generation("g", "a", 1_000, 0.0)
        received = {}
        generated = 0
        for _ in range(200):
            action = random.choice(
                ["make", "again", "send", "send", "attach", "detach"]
            )
            if action == "make" and generated < 100:
                new = random.randrange(1, 6)
                tokens = tuple(str(i) for i in range(generated, generated + new))
                generation.append(generated, tokens, 0.0)
                generated += new
            elif action == "again" and generated:
                first = random.randrange(generated)
                tokens = tuple(str(i) for i in range(first, generated))
                generation.append(first, tokens, 0.0)
            elif action == "attach":
                request = len(received)
                start = random.randrange(generated + 1)
                generation.attach(1, request, start)
                received[request] = [start]
            elif action == "detach" and received:
                generation.detach(1, random.choice(list(received)), 0.0)
            elif (segment := generation.send()) is not None:
                reader = segment.reader
                assert reader.request == max(received), "a superseded reader got tokens"
                expected = received[reader.request][-1]
                assert segment.first_index == expected
                end = expected + len(segment.tokens)
                assert segment.tokens == tuple(str(i) for i in range(expected, end))
                received[reader.request].append(end)
                generation.acknowledge(1, reader.request, end)
        generation.end(Ending())


class IdleEngine:
    """An engine that supports only `close`."""

    async def close(self):
        pass


@then("its reader still gets all tokens and the end")
def check_last_frames(context):
    frames = []
    settings_ = AgentSettings("hall", "s", "h:1", "http://p", "http://e")
    queue = EngineQueue(AdmissionSettings())

    async def run():
        runner = GenerationRunner(
            settings_, IdleEngine(), queue, lambda link, frame: frames.append(frame)
        )
        runner.submit(1, Submit(request=1, prompt="p", max_tokens=9))
        (generation,) = runner._readers.generations
        generation.append(0, ("a ", "b "), 0.0)
        generation.end(Ending())
        runner._readers.mark_pending(generation.identity)
        await runner.close()

    trio.run(run)
    assert [frame.WhichOneof("body") for frame in frames] == ["tokens", "ended"]
