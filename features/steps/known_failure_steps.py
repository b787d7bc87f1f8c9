"""Steps for the list of known failures."""

from __future__ import annotations

import tempfile
from pathlib import Path
from unittest.mock import patch

from behave import given, then

from devtools import run_checks
from devtools.run_checks import Counts, pass_over_known_red


@given("a list of known failures of {count:d} scenarios")
def given_list(context, count):
    context.names = [f"scenario {number} -- @1.{number}" for number in range(count)]
    lines = [f"{name} | its command | what was seen | issue" for name in context.names]
    with tempfile.NamedTemporaryFile("w", delete=False) as listed:
        listed.write("\n".join(lines))
    context.list = Path(listed.name)


def failures_left(context, names):
    lines = [f"  features/a.feature:{n}  {name}" for n, name in enumerate(names, 1)]
    with patch.object(run_checks, "KNOWN_RED", context.list):
        return pass_over_known_red("\n".join(lines), Counts(3, len(names))).failed


@then(
    "a feature in which these {count:d} fail is passed over, and one more failure isn't"
)
def check_passed_over(context, count):
    assert len(context.names) == count
    assert failures_left(context, context.names) == 0
    assert failures_left(context, [*context.names, "another scenario"]) == 1


@then("a feature in which another one fails has failed")
def check_not_passed_over(context):
    assert failures_left(context, ["another scenario"]) == 1
