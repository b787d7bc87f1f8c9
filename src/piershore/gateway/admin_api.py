"""HTTP API for operators."""

from __future__ import annotations

from dataclasses import asdict
from hmac import compare_digest

import orjson
from quart import Blueprint, request, Response

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import ObjectKind
from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.core.refusal_reason import RefusalReason
from piershore.gateway.account_directory import bearer_key, key_hash
from piershore.gateway.config_editor import ConfigEditor, EditConflictError
from piershore.gateway.exceptions import RequestRefusedError
from piershore.gateway.fleet_reports import FleetReports, to_dict
from piershore.gateway.problem import problem_body
from piershore.gateway.request_reader import RequestReader

COLLECTIONS = {
    "templates": ObjectKind.TEMPLATE,
    "accounts": ObjectKind.ACCOUNT,
    "services": ObjectKind.SERVICE,
}


class AdminApi:
    """Request handlers of the operators' API, under `/admin/v1`."""

    def __init__(
        self,
        key_hashes: tuple[str, ...],
        view: ConfigView,
        reader: RequestReader,
        editor: ConfigEditor,
        reports: FleetReports,
    ) -> None:
        self._key_hashes = key_hashes
        self._view = view
        self._reader = reader
        self._editor = editor
        self._reports = reports

    def blueprint(self) -> Blueprint:
        """Return the API's routes."""
        routes = Blueprint("admin", __name__, url_prefix="/admin/v1")
        routes.before_request(self.authenticate)
        routes.get("/status")(self.status)
        routes.get("/rollout/<version>")(self.rollout)
        routes.post("/endpoints/<name>/drain")(self.drain)
        routes.get("/<collection>")(self.list)
        routes.get("/<collection>/<name>")(self.get)
        routes.put("/<collection>/<name>")(self.put)
        routes.patch("/<collection>/<name>")(self.patch)
        routes.delete("/<collection>/<name>")(self.delete)
        return routes

    async def authenticate(self) -> None:
        """Refuse requests without a valid operator key."""
        key = bearer_key(request.headers.get("Authorization"))
        digest = key_hash(key or "")
        matches = [compare_digest(digest, known) for known in self._key_hashes]
        if key is None or not any(matches):
            raise RequestRefusedError(
                RefusalReason.UNAUTHENTICATED, "the operator's key is missing or wrong"
            )

    async def list(self, collection: str) -> Response:
        """Return all objects of a collection with their versions."""
        kind = _kind(collection)
        items = []
        for name, _ in self._view.all(kind):
            stored = self._view.stored(kind, name)
            spec = orjson.loads(stored.value)
            items.append({"name": name, "version": stored.version, "spec": spec})
        return _json({"items": sorted(items, key=lambda item: item["name"])})

    async def get(self, collection: str, name: str) -> Response:
        """Return one object with its version as `ETag`."""
        stored = await self._editor.read(ObjectName(_kind(collection), name))
        return _object_response(stored)

    async def put(self, collection: str, name: str) -> Response:
        """Replace the version in `If-Match`, or create with `If-None-Match: *`."""
        kind = _kind(collection)
        version = _edited_version(may_create=True)
        data = await self._reader.read_json()
        return await self._edit(self._editor.put, ObjectName(kind, name), data, version)

    async def patch(self, collection: str, name: str) -> Response:
        """Apply a merge patch (RFC 7396) to the version in `If-Match`."""
        kind = _kind(collection)
        version = _edited_version(may_create=False)
        data = await self._reader.read_json()
        return await self._edit(
            self._editor.patch, ObjectName(kind, name), data, version
        )

    async def delete(self, collection: str, name: str) -> Response:
        """Delete the version of an object in `If-Match`."""
        kind = _kind(collection)
        version = _edited_version(may_create=False)
        return await self._edit(self._editor.delete, ObjectName(kind, name), version)

    async def status(self) -> Response:
        """Return the status of all boxes."""
        statuses = await self._reports.statuses()
        return _json({"boxes": [to_dict(status) for status in statuses]})

    async def rollout(self, version: str) -> Response:
        """Return on how many boxes a version is in force, and which lag."""
        if not (version.isascii() and version.isdigit()):
            raise RequestRefusedError(
                RefusalReason.INVALID_FIELD, "the version must be a whole number"
            )
        return _json(to_dict(await self._reports.rollout(int(version))))

    async def drain(self, name: str) -> Response:
        """Drain an endpoint, or clear its drain with the body ``{"drain": false}``."""
        drain = True
        if request.content_length:
            data = await self._reader.read_json()
            if not isinstance(data, dict) or not isinstance(data.get("drain"), bool):
                raise RequestRefusedError(
                    RefusalReason.INVALID_FIELD, "the body must be {drain: true|false}"
                )
            drain = data["drain"]
        return _object_response(await self._editor.drain(name, drain))

    async def _edit(self, edit: object, *arguments: object) -> Response:
        try:
            return _object_response(await edit(*arguments))
        except EditConflictError as error:
            body = problem_body(error)
            body["current_version"] = error.version
            body["differences"] = [asdict(d) for d in error.differences]
            response = Response(
                orjson.dumps(body),
                status=body["status"],
                content_type="application/problem+json",
            )
            response.headers["ETag"] = f'"{error.version}"'
            return response


def _kind(collection: str) -> ObjectKind:
    kind = COLLECTIONS.get(collection)
    if kind is None:
        raise RequestRefusedError(
            RefusalReason.NOT_FOUND, f"collections are {', '.join(COLLECTIONS)}"
        )
    return kind


def _edited_version(*, may_create: bool) -> int:
    if may_create and request.headers.get("If-None-Match") == "*":
        return 0
    text = request.headers.get("If-Match")
    if text is None:
        raise RequestRefusedError(
            RefusalReason.PRECONDITION_REQUIRED,
            "send If-Match with the version that you edited",
        )
    digits = text.strip().removeprefix("W/").strip('"')
    if not (digits.isascii() and digits.isdigit()):
        raise RequestRefusedError(
            RefusalReason.INVALID_FIELD, "If-Match must hold a version"
        )
    return int(digits)


def _object_response(stored: StoredObject) -> Response:
    spec = None if stored.value is None else orjson.loads(stored.value)
    body = {"name": stored.name.name, "version": stored.version, "spec": spec}
    response = _json(body)
    response.headers["ETag"] = f'"{stored.version}"'
    response.headers["Link"] = f'</admin/v1/rollout/{stored.version}>; rel="monitor"'
    return response


def _json(data: object) -> Response:
    return Response(orjson.dumps(data), content_type="application/json")
