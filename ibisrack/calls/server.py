"""The HTTP server for calls: one task for each connection, which serves requests in sequence."""

import attrs
from aiohttp import web
from multidict import CIMultiDict

from ibisrack.bodies import read_request_body
from ibisrack.calls.headers import (
    CALL_ID,
    KEY_PERIOD,
    LOAD,
    OUTCOME,
    REASON,
    REVISION,
    SERVED_BY,
    CallContext,
    read_context,
)
from ibisrack.calls.ingress import Ingress
from ibisrack.calls.keys import is_forwarded_keyed, is_keyed, outcome_before_key_lookup
from ibisrack.calls.match import match
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.calls.owner import Owner
from ibisrack.calls.relay import forwardable_headers
from ibisrack.clocks import Instant, read_clocks
from ibisrack.errors import NotRunError, RequestError, UnknownOutcomeError
from ibisrack.node.lifecycle import DRAINING, SERVING
from ibisrack.node.state import NodeState
from ibisrack.timeline.events import CallFinished

MAX_BODY_BYTES = 1024 * 1024
_PLAIN_TEXT = "text/plain; charset=utf-8"
_UNREADABLE_CONTEXT = CallContext("")  # Of a call whose headers are malformed.


@attrs.define
class CallServer:
    """Serves calls from callers and from other nodes.

    Attributes:
      node: The node's state.
      owner: Runs calls on the local upstream.
      ingress: Runs calls of callers on any instance.
    """

    node: NodeState
    owner: Owner
    ingress: Ingress

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request."""
        start = read_clocks()
        context = _UNREADABLE_CONTEXT
        try:
            context = read_context(request.headers)
            body = await read_request_body(request, MAX_BODY_BYTES)
        except RequestError as error:
            reason = Reason.TOO_LARGE if error.status == 413 else Reason.BAD_REQUEST
            self._record_finished(context, None, Outcome.NOT_RUN, reason, "", start)
            return self._error_response("", error.status, Outcome.NOT_RUN, reason, str(error))
        call: Call | None = None
        try:
            call = self._create_call(request, context, body, start)
            answer, served_by = await self._run_call(call, context)
            self._record_finished(context, call, answer.outcome, "", served_by, start)
            return await self._respond(request, call, answer, served_by)
        except RequestError as error:
            outcome = outcome_before_key_lookup(error, context)
            reason = Reason.NO_ROUTE if call is None else Reason.BAD_REQUEST
            self._record_finished(context, call, outcome, reason, "", start)
            return self._error_response(context.call_id, error.status, outcome, reason, str(error))
        except NotRunError as error:
            outcome = Outcome.NOT_RUN if call else outcome_before_key_lookup(error, context)
            self._record_finished(context, call, outcome, error.reason, "", start)
            status = 503 if outcome == Outcome.NOT_RUN else 502
            status = 504 if error.reason == Reason.DEADLINE else status
            return self._error_response(context.call_id, status, outcome, error.reason)
        except UnknownOutcomeError as error:
            self._record_finished(context, call, Outcome.UNKNOWN, error.reason, "", start)
            status = 504 if error.reason == Reason.DEADLINE else 502
            return self._error_response(context.call_id, status, Outcome.UNKNOWN, error.reason)

    def _create_call(
        self, request: web.BaseRequest, context: CallContext, body: bytes, start: Instant
    ) -> Call:
        version = self.node.versions.in_force
        if version is None or not context.idempotency_key:
            self._require_serving(start)
        if version is None:
            raise NotRunError(Reason.NO_VERSION)
        path = request.rel_url.raw_path
        host = request.headers.get("Host", "").partition(":")[0]
        route = match(version.rules, request.method, host, path)
        if route is None:
            raise RequestError(f"no route for {request.method} {host}{path}", 404)
        deadline_ms = min(context.deadline_ms or route.deadline_ms, route.deadline_ms)
        call = Call(
            call_id=context.call_id,
            method=request.method,
            path=request.rel_url.raw_path_qs,
            headers=forwardable_headers(request.headers),
            body=body,
            route=route,
            revision=version.version_id.revision,
            deadline_at_s=start.monotonic_s + deadline_ms / 1000,
            depth=context.depth,
            retry_right=context.retry_right,
            idempotency_key=context.idempotency_key,
            key_period=context.key_period,
        )
        # A draining node still sends a keyed call to its home: only the home can say not-run.
        is_draining = self.node.lifecycle.state == DRAINING
        if not is_forwarded_keyed(context) and not (is_draining and is_keyed(call)):
            self._require_serving(start)
        return call

    def _require_serving(self, start: Instant) -> None:
        """Raises NotRunError unless this node accepts calls."""
        state = self.node.lifecycle.state
        if state != SERVING or self.node.paused(start):
            raise NotRunError(Reason.DRAINING if state == DRAINING else Reason.NOT_SERVING)

    async def _run_call(self, call: Call, context: CallContext) -> tuple[Answer, str]:
        if context.forwarded:
            return await self.owner.run(call), self.node.members.own_id
        return await self.ingress.run(call)

    async def _respond(
        self, request: web.BaseRequest, call: Call, answer: Answer, served_by: str
    ) -> web.StreamResponse:
        headers = forwardable_headers(answer.headers)
        headers.update(self._node_headers(call.call_id, answer.outcome, served_by))
        headers[KEY_PERIOD] = self.ingress.current_period(call.route.to)
        if answer.rest is None:
            response = web.Response(status=answer.status, headers=headers, body=answer.body)
            return self._close_if_draining(response)
        return await _stream(request, answer, headers)

    def _node_headers(self, call_id: str, outcome: Outcome, served_by: str) -> dict[str, str]:
        version = self.node.versions.in_force
        return {
            CALL_ID: call_id,
            OUTCOME: outcome.value,
            SERVED_BY: served_by,
            LOAD: str(self.owner.gate.load()),
            REVISION: str(version.version_id.revision if version else 0),
        }

    def _error_response(
        self, call_id: str, status: int, outcome: Outcome, reason: str, detail: str = ""
    ) -> web.Response:
        headers = self._node_headers(call_id, outcome, self.node.members.own_id)
        headers[REASON] = str(reason)
        if status == 503:
            headers["Retry-After"] = "1"
        text = f"{outcome.value}: {detail or reason}\n"
        response = web.Response(
            status=status,
            headers={**headers, "Content-Type": _PLAIN_TEXT},
            body=text.encode(errors="backslashreplace"),
        )
        return self._close_if_draining(response)

    def _close_if_draining(self, response: web.Response) -> web.Response:
        """Makes the sender open another connection before the stopping node closes this one."""
        if self.node.lifecycle.state == DRAINING:
            response.force_close()
        return response

    def _record_finished(
        self,
        context: CallContext,
        call: Call | None,
        outcome: Outcome,
        reason: str,
        served_by: str,
        start: Instant,
    ) -> None:
        """Records a finished call in the timeline."""
        now = read_clocks()
        event = CallFinished(
            call_id=context.call_id,
            role="owner" if context.forwarded else "ingress",
            service=call.route.to if call else "",
            rank=call.route.rank if call else "",
            rule_line=call.route.line if call else 0,
            requester=call.route.requester if call else "",
            outcome=outcome.value,
            reason=str(reason),
            peer=served_by,
            revision=call.revision if call else 0,
            duration_ms=round((now.monotonic_s - start.monotonic_s) * 1000, 3),
        )
        self.node.record(event, now)


async def _stream(
    request: web.BaseRequest, answer: Answer, headers: CIMultiDict[str]
) -> web.StreamResponse:
    """Streams an answer that is too large to buffer."""
    response = web.StreamResponse(status=answer.status, headers=headers)
    length = answer.headers.get("Content-Length")
    if length is not None:
        response.content_length = int(length)
    try:
        await response.prepare(request)
        await response.write(answer.body)
        async for part in answer.rest:
            await response.write(part)
    except UnknownOutcomeError:
        # The status is already sent; only an aborted connection shows the caller that the answer
        # is incomplete.
        if request.transport is not None:
            request.transport.abort()
        return response
    finally:
        answer.rest.close()
    await response.write_eof()
    return response
