"""Steps for views of the configuration, using only the core."""

from __future__ import annotations

from random import Random

from behave import then

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import ObjectKind
from piershore.core.configuration.stored_object import (
    ObjectName,
    Snapshot,
    StoredObject,
)


@then(
    "no view of {count:d} random histories returns to an older version, and all agree in"
    " the end"
)
def check_views(context, count):
    names = [ObjectName(ObjectKind.SERVICE, name) for name in "abc"]
    for seed in range(count):
        random = Random(seed)
        history = [
            StoredObject(
                random.choice(names), version, random.choice([b"{}", b"{}", None])
            )
            for version in range(1, 20)
        ]
        view = ConfigView()
        highest = {}
        for _ in range(60):
            if random.random() < 0.7:
                view.apply(random.choice(history))
            else:
                revision = random.randrange(20)
                view.apply_snapshot(snapshot_at(history, revision))
            for name in names:
                stored = view.stored(name.kind, name.name)
                version = stored.version if stored else 0
                assert version >= highest.get(name, 0), (
                    "a view returned to an older version"
                )
                highest[name] = version
        view.apply_snapshot(snapshot_at(history, 19))
        live = {stored.name: stored.version for stored in view.snapshot().objects}
        expected = snapshot_at(history, 19).objects
        assert live == {stored.name: stored.version for stored in expected}


def snapshot_at(history, revision):
    newest = {stored.name: stored for stored in history[:revision]}
    live = tuple(stored for stored in newest.values() if stored.value is not None)
    return Snapshot(revision, live)
