"""Steps for backoffs that endpoints request of their agents."""

from __future__ import annotations

from argparse import Namespace
from functools import partial
from random import Random

import trio
from behave import then, when

from devtools.ports import free_port
from piershore.agent.call_runner import CallRunner
from piershore.agent.endpoint_worker import WorkerContext
from piershore.agent.generation_runner import GenerationRunner
from piershore.core.admission.engine_queue import EngineQueue
from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import AdmissionSettings
from piershore.core.outcome import Outcome
from piershore.core.ownership.interval import Owner
from piershore.core.refusal_reason import RefusalReason
from piershore.core.routing.endpoint_state import EndpointState
from piershore.core.routing.load_balancing_policy import LeastWorkOfTwo
from piershore.endpoints.http_engine_client import HttpEngineClient
from piershore.endpoints.http_service_client import HttpServiceClient
from piershore.gateway.agent_links import AgentLinks
from piershore.gateway.refusals import read_refusal
from piershore.settings.process_settings import AgentSettings
from piershore.wire.link_pb2 import Call, Refused, Submit
from standins.engine import EngineStandin
from standins.engine_model import EngineSettings
from standins.service import ServiceStandin
from standins.serving import serve_app

LINK = 1
BACKOFF_SECONDS = 1.0
SHED_SECONDS = 0.8
SENT_DURING_BACKOFF = 4
TIMEOUT_SECONDS = 30.0
SERVICE = "model"


class AgentHarness:
    """The worker of one agent in front of a stand-in for its endpoint.

    `frames` are the frames that the agent has sent to its gateway.
    """

    def __init__(self, standin):
        self.standin = standin
        self.port = free_port()
        self.frames = []

    @property
    def settings(self):
        url = f"http://127.0.0.1:{self.port}"
        return AgentSettings("hall", SERVICE, "h:1", "http://p", url)

    def send(self, link, frame):
        self.frames.append(frame)

    def frames_of(self, request):
        """Return the kinds of frames sent for a request, and the body of the last one.

        Token frames are left out.
        """
        bodies = [(f.WhichOneof("body"), f) for f in self.frames]
        messages = [(b, getattr(f, b)) for b, f in bodies if b != "tokens"]
        messages = [(b, m) for b, m in messages if m.request == request]
        kinds = [body for body, _ in messages]
        return kinds, messages[-1][1] if messages else None

    async def wait_for(self, request, *kinds):
        while not set(kinds) & set(self.frames_of(request)[0]):
            await trio.sleep(0.01)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        arguments = Namespace(listen=f"127.0.0.1:{self.port}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_app, self.standin.app(), arguments)
            while True:
                try:
                    await (await trio.open_tcp_stream("127.0.0.1", self.port)).aclose()
                    break
                except OSError:
                    await trio.sleep(0.01)
            task_status.started()


def run_script(context, agent, script):
    async def run():
        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                await nursery.start(agent.serve)
                await script(agent, nursery)
                nursery.cancel_scope.cancel()

    context.agent = agent
    trio.run(run)


def engine_sender(agent, nursery):
    engine = HttpEngineClient(f"http://127.0.0.1:{agent.port}", 5.0)
    queue = EngineQueue(AdmissionSettings())
    runner = GenerationRunner(agent.settings, engine, queue, agent.send)
    engine.set_rate_listener(runner.record_rate)
    nursery.start_soon(agent.standin.run)
    nursery.start_soon(runner.run)

    def send(number):
        submit = Submit(request=number, prompt="length=3", max_tokens=3)
        runner.submit(LINK, submit)

    return send


def service_sender(agent, nursery):
    worker_context = WorkerContext(
        owner=Owner("desk-1", "a"),
        settings=agent.settings,
        service=None,
        store=None,
        config=ConfigView(),
        send=agent.send,
        request_heartbeat=lambda: None,
    )
    client = HttpServiceClient(f"http://127.0.0.1:{agent.port}")
    runner = CallRunner(worker_context, client)
    runner._nursery = nursery

    def send(number):
        runner.call(LINK, Call(request=number, kind="look", body=b"{}"))

    return send


async def send_around_backoff(context, agent, send, served):
    """Send one request that gets the backoff, more during it, and one after it."""
    agent.standin.shedding.shed(SHED_SECONDS, BACKOFF_SECONDS)
    send(1)
    await agent.wait_for(1, "refused", "ended", "answered")
    context.refused_at = trio.current_time()
    for number in range(2, 2 + SENT_DURING_BACKOFF):
        send(number)
        await agent.wait_for(number, "refused", "ended", "answered")
    context.backoff_seconds_left = BACKOFF_SECONDS - (
        trio.current_time() - context.refused_at
    )
    context.requests = agent.standin.requests
    await trio.sleep(BACKOFF_SECONDS)
    send(99)
    await agent.wait_for(99, *served, "refused")
    context.last = agent.frames_of(99)[0]
    context.served = served


@when("an engine requests a backoff of 1 s for a generation, and more are sent")
def back_off_engine(context):
    async def script(agent, nursery):
        send = engine_sender(agent, nursery)
        await send_around_backoff(context, agent, send, ("ended",))

    run_script(context, AgentHarness(EngineStandin(EngineSettings(), 1.0)), script)


@when("a plain service requests a backoff of 1 s for a call, and more are sent")
def back_off_service(context):
    async def script(agent, nursery):
        send = service_sender(agent, nursery)
        await send_around_backoff(context, agent, send, ("answered",))

    run_script(context, AgentHarness(ServiceStandin()), script)


@then("they are refused as not run with {code} and the remaining backoff")
def check_refused(context, code):
    for number in range(2, 2 + SENT_DURING_BACKOFF):
        kinds, refused = context.agent.frames_of(number)
        assert kinds == ["refused"], (number, kinds)
        assert refused.reason == code, refused
        assert refused.outcome == Outcome.NOT_RUN, refused
        assert 0 < refused.retry_after_seconds <= BACKOFF_SECONDS, refused
    kinds, first = context.agent.frames_of(1)
    if kinds[-1] == "refused":
        assert first.reason == code
        assert first.outcome == Outcome.NOT_RUN


@then("{count:d} request reached the {endpoint}")
def check_reached(context, count, endpoint):
    assert context.requests == count, context.requests


@then("a {request} that is sent after the backoff runs")
def check_after(context, request):
    assert set(context.served) & set(context.last), context.last
    assert "refused" not in context.last


class _Link:
    def __init__(self, name):
        self.state = EndpointState(name, SERVICE, "hall", is_open=True)


@when("an agent refuses a request with {reason} and {seconds:g} s")
def refuse_for(context, reason, seconds):
    async def run():
        links = AgentLinks("g", "hall", "least_work_of_two", 8, ConfigView())
        links._is_staying = lambda state: True
        links._policy = LeastWorkOfTwo("hall", Random(1))
        links._links = {name: _Link(name) for name in ("a", "b")}
        refused = Refused(
            request=1,
            reason=RefusalReason(reason),
            outcome=Outcome.NOT_RUN,
            retry_after_seconds=seconds,
        )
        read_refusal(links._links["a"], refused)
        choose = partial(links.choose, SERVICE, "", ())
        context.chosen_during = {choose().state.name for _ in range(20)}
        context.seconds_left = [links.seconds_until_any_available(SERVICE)]
        read_refusal(links._links["b"], refused)
        context.chosen_when_none_left = choose()
        context.seconds_left.append(links.seconds_until_any_available(SERVICE))
        await trio.sleep(seconds)
        context.chosen_after = {choose().state.name for _ in range(20)}

    trio.run(run)


@then("its gateway chooses other agents, and this one again after that time")
def check_chosen(context):
    assert context.chosen_during == {"b"}
    assert context.chosen_when_none_left is None
    assert context.seconds_left[0] is None
    assert 0 < context.seconds_left[1] <= BACKOFF_SECONDS
    assert context.chosen_after == {"a", "b"}
