"""Steps for rate limits, retry budgets and apertures, without any I/O."""

from __future__ import annotations

from collections import Counter

import trio
from behave import then

from piershore.core.limits.account_limiter import AccountLimiter, AccountLimits
from piershore.core.routing.aperture import choose_aperture
from piershore.gateway.admission import Admission
from piershore.gateway.retry_quota import RetryQuota

CASES = {
    "one gateway": (1, 1.0),
    "four gateways with equal shares": (4, 0.25),
}


@then("with {case} no more requests than the limit and a burst are admitted")
def check_limit(context, case):
    gateways, share = CASES[case]
    limits = AccountLimits(20.0, None)
    limiters = [AccountLimiter(share) for _ in range(gateways)]
    seconds = 10
    admitted = 0
    for tick in range(seconds * 100):
        for limiter in limiters:
            admitted += limiter.admit("a", limits, tick / 100) is None
    burst = gateways * max(1.0, 20.0 * share)
    assert admitted <= 20 * seconds + burst, admitted
    assert admitted >= 20 * seconds * 0.9, admitted


@then(
    "{attempts:d} first attempts with a share of {share:f} allow no more than "
    "{maximum:d} retries"
)
def check_budget(context, attempts, share, maximum):
    context.share = share
    retries = count_retries(1, attempts, share)
    assert maximum * 0.8 <= retries <= maximum, retries


@then(
    "{gateways:d} gateways with {attempts:d} first attempts in total allow no more than "
    "{maximum:d} retries"
)
def check_shared_budget(context, gateways, attempts, maximum):
    retries = count_retries(gateways, attempts, context.share)
    assert maximum * 0.8 <= retries <= maximum, retries


def count_retries(gateways, attempts, share):
    """Return the retries allowed if all first attempts request one at the same time."""

    async def spend():
        shares = [RetryQuota(share, lambda: gateways) for _ in range(gateways)]
        spent = 0
        for number in range(attempts):
            retries = shares[number % gateways]
            retries.record_request()
            spent += retries.spend()
        return spent

    return trio.run(spend)


HALLS = 9


def apertures(gateways, endpoints, size):
    halls = {f"e{n}": f"hall-{n % HALLS}" for n in range(endpoints)}
    return {
        g: choose_aperture(f"g{g}", f"hall-{g % HALLS}", halls, size)
        for g in range(gateways)
    }


@then(
    "with {gateways:d} gateways, {endpoints:d} endpoints and an aperture of {size:d} "
    "every endpoint has {minimum:d} to {maximum:d} links"
)
def check_apertures(context, gateways, endpoints, size, minimum, maximum):
    chosen = apertures(gateways, endpoints, size)
    links = Counter(name for names in chosen.values() for name in names)
    counts = [links[f"e{n}"] for n in range(endpoints)]
    assert minimum <= min(counts) and max(counts) <= maximum, (min(counts), max(counts))
    context.aperture = (gateways, endpoints, size, chosen)


@then(
    "each gateway has some links to other data halls, and removing one endpoint "
    "moves few links"
)
def check_remote(context):
    gateways, endpoints, size, chosen = context.aperture
    fewer = apertures(gateways, endpoints - 1, size)
    for gateway, names in chosen.items():
        own = gateway % HALLS
        assert any(int(name[1:]) % HALLS != own for name in names)
        assert len(names - fewer[gateway]) <= 1


@then("the concurrency limit of an account is free again when its answer is dropped")
def check_admission(context):
    limiter = AccountLimiter()
    limits = AccountLimits(None, 1)

    async def answer(admission):
        try:
            yield b""
        finally:
            admission.release()

    assert limiter.admit("a", limits, 0.0) is None
    unstarted = answer(Admission(limiter, "a"))
    assert limiter.admit("a", limits, 0.0) is not None
    del unstarted
    assert limiter.admit("a", limits, 0.0) is None
    admission = Admission(limiter, "a")
    admission.release()
    admission.release()
    assert limiter.admit("a", limits, 0.0) is None
