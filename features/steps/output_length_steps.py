"""Steps for expected output lengths."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, log
from random import Random

from behave import given, then, when
from hypothesis import strategies as st
from support.core_checks import checked

from piershore.core.fleet.generation_work import GenerationSize
from piershore.core.fleet.length_estimate import LengthEstimate
from piershore.core.fleet.output_lengths import OutputLengths

MAX_TOKENS = 1_780
HINT_SPREAD = 1.14
ROUTE = "review"
INTERVAL_SECONDS = 0.5
GENERATED_TOKENS = 300


@dataclass
class Outputs:
    """Random outputs of one route, and the lengths that a gateway learned from them."""

    median: float
    spread: float
    lengths: OutputLengths
    random: Random
    now: float = 0.0

    def draw(self):
        """Return the size and the length of one more generation."""
        self.now += INTERVAL_SECONDS
        length = self.median * self.random.lognormvariate(0, self.spread)
        length = max(1, min(MAX_TOKENS, round(length)))
        hint = max(1, round(length * self.random.lognormvariate(0, HINT_SPREAD)))
        return GenerationSize(3_000, MAX_TOKENS, hint), length

    def end(self, count):
        """Record the end of `count` generations."""
        for _ in range(count):
            size, length = self.draw()
            self.lengths.record(ROUTE, size, length, self.now)

    def estimate(self, size):
        """Return the gateway's estimate."""
        return self.lengths.estimate(ROUTE, size, self.now)


@given(
    "outputs with median {median:g} and spread {spread:g}, of which {count:d} have "
    "ended"
)
def given_outputs(context, median, spread, count):
    context.outputs = Outputs(median, spread, OutputLengths(), Random(5))
    context.outputs.end(count)


@when("outputs with median {median:g} and spread {spread:g} have arrived for 8 minutes")
def change_workload(context, median, spread):
    context.outputs.median, context.outputs.spread = median, spread
    context.outputs.end(int(480 / INTERVAL_SECONDS))


@when("a gateway starts and receives a peer's report of them")
def start_gateway(context):
    outputs = context.outputs
    report = outputs.lengths.report(outputs.now)
    outputs.lengths = OutputLengths()
    outputs.lengths.apply_report("peer", report, outputs.now)


@then("400 more have 0.85 to 1.15 times the tokens expected of them")
def check_sum(context):
    drawn = [context.outputs.draw() for _ in range(400)]
    # Turn the clock back so that a peer's report doesn't expire; these aren't recorded.
    context.outputs.now -= 400 * INTERVAL_SECONDS
    context.drawn = drawn
    expected = sum(context.outputs.estimate(s).mean_remaining(0) for s, _ in drawn)
    ratio = sum(length for _, length in drawn) / expected
    assert 0.85 < ratio < 1.15, ratio


@then("after 300 tokens they have 0.8 to 1.2 times the tokens expected of the rest")
def check_remaining_sum(context):
    longer = [(s, length) for s, length in context.drawn if length > GENERATED_TOKENS]
    estimates = (context.outputs.estimate(size) for size, _ in longer)
    expected = sum(estimate.mean_remaining(GENERATED_TOKENS) for estimate in estimates)
    ratio = sum(length - GENERATED_TOKENS for _, length in longer) / expected
    assert 0.8 < ratio < 1.2, ratio


@then("the remaining length of an output is its conditional mean, at any length")
def check_remaining_mean(context):
    @checked(
        st.floats(1, 5_000),
        st.floats(0.05, 2.0),
        st.integers(0, 3_000),
        st.integers(1, 4_000),
        examples=200,
    )
    def check(median, spread, generated, maximum):
        estimate = LengthEstimate(median, spread, maximum)
        remaining = estimate.mean_remaining(generated)
        assert 0 <= remaining <= max(0, maximum - generated) + 1e-6
        random = Random(1)
        drawn = (
            min(maximum, exp(random.gauss(log(median), spread))) for _ in range(3_000)
        )
        longer = [length - generated for length in drawn if length > generated]
        if len(longer) < 500:
            return
        mean = sum(longer) / len(longer)
        deviation = (sum((x - mean) ** 2 for x in longer) / len(longer)) ** 0.5
        assert abs(remaining - mean) <= 5 * deviation / len(longer) ** 0.5 + 0.5


@then("the more accurate hints were, the more an estimate follows them")
def check_hints(context):
    medians = []
    for hint_spread in (0.1, 0.6, 2.0):
        lengths, random = OutputLengths(), Random(2)
        for _ in range(100):
            length = round(400 * random.lognormvariate(0, 0.9))
            hint = round(length * random.lognormvariate(0, hint_spread))
            size = GenerationSize(100, 20_000, max(1, hint))
            lengths.record(ROUTE, size, length, 0.0)
        size = GenerationSize(100, 20_000, 4_000)
        medians.append(lengths.estimate(ROUTE, size, 0.0).median)
    assert medians[0] > 3_000 and medians == sorted(medians, reverse=True), medians
    assert medians[2] < 1_000, medians
