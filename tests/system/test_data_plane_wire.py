"""The data plane on real sockets: unchanged bytes, broken and stray responses, handles, resumed streams."""

import asyncio
import json
import socket
from random import Random

import pytest
from wire import (
    LAST_CHUNK,
    Client,
    Freshness,
    ScriptedWorker,
    answer,
    apply_first_state,
    chunk,
    clock,
    data_plane,
    event,
    header,
    not_executed,
    request,
    run,
    settings,
    stream_head,
)

from molespur.system import early_listener
from molespur.system.data_plane.http import HttpServer, IngressApp
from molespur.system.data_plane.ingress import Ingress
from molespur.system.data_plane.state import DataPlaneState
from molespur.system.data_plane.upstream import Upstreams


def configuration(route_type="non_idempotent", engine=False, **route):
    shape = {"Capacity": 8, "KvCapacityTokens": 1000, "KvTokenBytes": 10, "BandwidthMbps": 1000}
    service = {"Name": "s", "MaxConnections": 50, **({"Engine": shape} if engine else {})}
    made = {"Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Type": route_type, "Service": "s"}
    made.update({"TimeoutMs": 5000, "TargetLatencyMs": 300, "MaxAttempts": 1, **route})
    return json.dumps({"Version": 1, "Routes": [made], "Services": [service]}).encode()


def stream(*parts):
    return lambda request: [stream_head(request), *parts]


def test_requests_and_responses_are_forwarded_unchanged():
    async def scenario():
        worker = ScriptedWorker(
            "w", lambda r: answer(r, b"\x00body\xff", extra=b"X-Own: Yes\r\nKeep-Alive: timeout=5\r\n")
        )
        async with data_plane(configuration(), worker) as (port, _):
            client = await Client.connect(port)
            await client.send(
                request(b"/p/a%2Fb/../c?q=%20&x=%zz", body=b"\x01\x02", extra=b"X-Mixed-Case: v  w\r\n")
            )
            status, head, body, complete = await client.response()
            assert (status, body, complete) == (200, b"\x00body\xff", True)
            assert header(head, b"X-Own") == b"Yes" and header(head, b"Molespur-Server-Stamp") == b"s.1"
            assert header(head, b"Keep-Alive") is None
            sent = worker.requests[0]
            assert sent.startswith(b"POST /p/a%2Fb/../c?q=%20&x=%zz HTTP/1.1\r\n") and sent.endswith(
                b"\r\n\r\n\x01\x02"
            )
            assert b"X-Mixed-Case: v  w" in sent and header(sent, b"Molespur-Expected-Instance") == b"w"
            assert (
                header(sent, b"Accept-Encoding") is None
                and 0 < int(header(sent, b"Molespur-Deadline-Ms")) <= 5000
            )
            await client.send(request(attempt=b"a2"))
            assert (await client.response())[0] == 200
            assert worker.connections == 1, "the idle connection is reused"

    run(scenario())


def test_a_request_just_after_the_start_waits_for_the_first_state():
    async def scenario():
        worker = ScriptedWorker("w", answer)
        async with data_plane(None, worker) as (port, ingress):
            client = await Client.connect(port)
            await client.send(request())
            while not ingress.open_requests:
                await asyncio.sleep(0)
            apply_first_state(ingress.state, configuration(), worker)
            assert (await client.response())[0] == 200

    run(scenario())


def test_a_request_that_gets_no_state_in_time_gets_a_retry_after():
    async def scenario():
        async with data_plane(None) as (port, _):
            client = await Client.connect(port)
            await client.send(request(deadline=8))
            status, head, _body, _complete = await client.response()
            assert status == 503 and float(header(head, b"Retry-After")) > 0

    run(scenario())


def test_clients_can_connect_before_the_server_has_started(tmp_path):
    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        (tmp_path / "boot.yaml").write_text(f'Listen: {{Frontend: "127.0.0.1:{port}"}}\n')
        early_listener.open_early(str(tmp_path / "boot.yaml"), "Frontend")
        client = await Client.connect(port)
        await client.send(request())
        state = DataPlaneState(settings(), Random(1))
        worker = ScriptedWorker("w", answer)
        await worker.start()
        apply_first_state(state, configuration(), worker)
        stop = asyncio.Event()
        server = HttpServer(IngressApp(Ingress(state, Upstreams(), clock, Freshness())), lambda: state.limits)
        serving = asyncio.create_task(server.serve(f"127.0.0.1:{port}", stop, graceful_s=0.2))
        assert (await client.response())[0] == 200
        stop.set()
        await serving

    run(scenario())


@pytest.mark.parametrize("text", ["", "- a list", "Listen: {}", "Listen: {Frontend: 7}", "Listen: [", "a: b"])
def test_a_settings_file_without_a_listener_opens_none(tmp_path, text):
    (tmp_path / "boot.yaml").write_text(text)
    early_listener.open_early(str(tmp_path / "boot.yaml"), "Frontend")
    early_listener.open_early(str(tmp_path / "missing.yaml"), "Frontend")
    assert early_listener.take("7") is None


def test_a_chunked_request_arrives_completely():
    async def scenario():
        worker = ScriptedWorker("w", answer)
        async with data_plane(configuration(), worker) as (port, _):
            client = await Client.connect(port)
            await client.send(
                b"POST /p/x HTTP/1.1\r\nHost: shop.example\r\nMolespur-Attempt-Id: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b"one") + chunk(b"two") + LAST_CHUNK
            )
            assert (await client.response())[0] == 200
            assert worker.requests[0].endswith(b"\r\n\r\nonetwo")

    run(scenario())


@pytest.mark.parametrize(
    "script",
    [
        lambda r: None,
        lambda r: [answer(r, b"cut short")[:-3], None],
        lambda r: b"garbage\r\n\r\n",
        lambda r: answer(r).replace(b"Attempt-Id: a1", b"Attempt-Id: b9"),
        lambda r: answer(r, stamp=False),
        lambda r: answer(r, extra=b"Content-Encoding: gzip\r\n"),
        lambda r: answer(r, status=b"503 Service Unavailable"),
        lambda r: [answer(r).replace(b"Content-Length: 4\r\n", b"Connection: close\r\n"), None],
    ],
    ids=["closed", "cut", "garbage", "stray", "no stamp", "encoded", "no promise", "no framing"],
)
def test_a_request_that_may_have_run_gets_a_502_and_is_not_repeated(script):
    async def scenario():
        worker = ScriptedWorker("w", script)
        async with data_plane(configuration(), worker) as (port, _):
            client = await Client.connect(port)
            await client.send(request())
            status, head, body, _ = await client.response()
            assert status == 502 and body == b"" and header(head, b"Molespur-Server-Stamp") is None
            assert len(worker.requests) == 1, "it is not sent again"

    run(scenario())


def test_an_error_response_of_a_worker_is_forwarded_unchanged():
    async def scenario():
        worker = ScriptedWorker("w", lambda r: answer(r, b"sorry", b"500 Internal Server Error"))
        async with data_plane(configuration(), worker) as (port, _):
            client = await Client.connect(port)
            await client.send(request())
            status, head, body, _ = await client.response()
            assert (status, body) == (500, b"sorry") and header(head, b"Molespur-Server-Stamp") == b"s.1"

    run(scenario())


def test_a_rejected_request_is_served_by_another_worker():
    async def scenario():
        workers = ScriptedWorker("w", not_executed, answer), ScriptedWorker("v", not_executed, answer)
        async with data_plane(configuration(), *workers) as (port, ingress):
            ingress.state.budget("s").minimum = 50.0
            client = await Client.connect(port)
            await client.send(request())
            status, head, _, _ = await client.response()
            assert status == 503 and float(header(head, b"Retry-After")) > 0, (
                "both workers replied that they did not run it"
            )
            await client.send(request(attempt=b"a2"))
            assert (await client.response())[0] == 200

    run(scenario())


def test_an_unrequested_second_response_on_a_connection_is_discarded():
    async def scenario():
        worker = ScriptedWorker("w", lambda r: answer(r) + answer(r, b"stray"), answer)
        async with data_plane(configuration(), worker) as (port, _):
            client = await Client.connect(port)
            for number in range(3):
                await client.send(request(attempt=b"n%d" % number))
                status, head, body, _ = await client.response()
                assert (status, body) in ((200, b"fine"), (502, b""))
                assert header(head, b"Molespur-Attempt-Id") in (b"n%d" % number, None)

    run(scenario())


def test_complete_events_are_forwarded_at_once_and_partial_ones_are_not():
    async def scenario():
        held = asyncio.Event()
        worker = ScriptedWorker(
            "w", stream(chunk(event(1) + b"id: 2\nda"), held, chunk(b"ta: token 2\n\n"), LAST_CHUNK)
        )
        async with data_plane(configuration("streaming"), worker) as (port, _):
            client = await Client.connect(port)
            await client.send(request())
            assert b"text/event-stream" in await client.head()
            first = await client.reader.readexactly(len(chunk(event(1))))
            assert first == chunk(event(1))
            held.set()
            rest = await client.reader.readexactly(len(chunk(event(2))) + len(LAST_CHUNK))
            assert rest == chunk(event(2)) + LAST_CHUNK

    run(scenario())


def test_a_stream_truncated_within_an_event_does_not_look_complete():
    async def scenario():
        worker = ScriptedWorker("w", stream(chunk(event(1) + b"id: 2\nda"), None))
        async with data_plane(configuration("streaming"), worker) as (port, _):
            client = await Client.connect(port)
            await client.send(request())
            _, _, body, complete = await client.response()
            assert body == event(1) and not complete

    run(scenario())


def test_a_resumable_stream_continues_at_another_worker_within_one_response():
    async def scenario():
        def rest(request):
            after = int(header(request, b"Last-Event-Id"))
            return [
                stream_head(request, b"s.2"),
                chunk(b"".join(event(n) for n in range(after + 1, 6))),
                LAST_CHUNK,
            ]

        def first(request):
            if header(request, b"Last-Event-Id") is not None:
                return rest(request)
            return [stream_head(request), chunk(event(1)), chunk(event(2) + b"id: 3\n"), None]

        workers = ScriptedWorker("w", first), ScriptedWorker("v", first)
        async with data_plane(configuration("streaming", Resumable=True, MaxAttempts=2), *workers) as (
            port,
            ingress,
        ):
            ingress.state.budget("s").minimum = 50.0
            client = await Client.connect(port)
            await client.send(request())
            _, head, body, complete = await client.response()
            assert complete and body == b"".join(event(n) for n in range(1, 6))
            assert header(head, b"Molespur-Server-Stamp") == b"s.1", (
                "head and stamp come from the first worker"
            )
            assert sorted(len(w.requests) for w in workers) == [1, 1]

    run(scenario())


PROMPT = b"Molespur-Model: m\r\nMolespur-Token-Usage: 4000,80\r\nMolespur-Prompt-Prefix: aa:3000,bb:1000\r\n"


def prefill(request):
    body = b'{"PrefillHandle":"3fa09c","Tokens":4000,"Version":1}'
    return answer(request, body, extra=b"Content-Type: application/json\r\n", stamp=False)


def test_a_pair_separates_prefill_and_decode_and_hands_the_kv_cache_over():
    async def scenario():
        prefill_worker = ScriptedWorker("p", prefill, phase="prefill")
        decode_worker = ScriptedWorker("d", stream(chunk(event(1)), LAST_CHUNK), phase="decode")
        async with data_plane(configuration("streaming", engine=True), prefill_worker, decode_worker) as (
            port,
            _,
        ):
            client = await Client.connect(port)
            await client.send(request(extra=PROMPT, body=b"prompt"))
            status, _, body, complete = await client.response()
            assert (status, body, complete) == (200, event(1), True)
            assert header(prefill_worker.requests[0], b"Molespur-Serving-Phase") == b"prefill"
            assert (
                header(decode_worker.requests[0], b"Kv-From") == prefill_worker.address.encode() + b"/3fa09c"
            )
            assert prefill_worker.requests[0].endswith(b"prompt") and decode_worker.requests[0].endswith(
                b"prompt"
            )
            assert header(prefill_worker.requests[0], b"Priority") is not None

    run(scenario())


def test_a_kv_cache_that_no_worker_takes_is_freed_when_the_client_disconnects():
    async def scenario():
        freed, requested = asyncio.Event(), asyncio.Event()

        def prefill_or_free(request):
            if request.startswith(b"DELETE /api/kv-handle/3fa09c "):
                freed.set()
                return answer(request, stamp=False)
            return prefill(request)

        def hang(request):
            requested.set()
            return [asyncio.Event()]

        prefill_worker = ScriptedWorker("p", prefill_or_free, phase="prefill")
        decode_worker = ScriptedWorker("d", hang, phase="decode")
        async with data_plane(configuration("streaming", engine=True), prefill_worker, decode_worker) as (
            port,
            _,
        ):
            client = await Client.connect(port)
            await client.send(request(extra=PROMPT))
            await requested.wait()
            client.writer.close()
            await asyncio.wait_for(freed.wait(), 10)

    run(scenario())


def test_a_disconnected_client_frees_its_worker_at_once():
    async def scenario():
        requested = asyncio.Event()

        def hang(request):
            requested.set()
            return [asyncio.Event()]

        worker = ScriptedWorker("w", hang)
        async with data_plane(configuration(), worker) as (port, ingress):
            client = await Client.connect(port)
            await client.send(request())
            await requested.wait()
            client.writer.close()
            while ingress.open_requests:
                await asyncio.sleep(0)
            assert ingress.state.listed_workers("s")[0].unfinished == 0

    run(scenario())


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (request(b"/other/x"), 404),
        (b"POST /p/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /p/x HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (request(extra=b"X-Long: " + b"y" * 17_000 + b"\r\n"), 431),
        (request(extra=b"X-Long: " + b"y" * 90_000 + b"\r\n"), 431),
        (request(body=b"z" * 1_100_000), 413),
    ],
    ids=["no route", "no attempt id", "malformed", "long headers", "very long headers", "long body"],
)
def test_invalid_requests_get_a_4xx(sent, status):
    async def scenario():
        worker = ScriptedWorker("w", answer)
        async with data_plane(configuration(), worker) as (port, _):
            client = await Client.connect(port)
            await client.send(sent)
            assert (await client.response())[0] == status
            assert worker.requests == []

    run(scenario())


def test_without_a_configuration_the_response_is_503_never_404():
    async def scenario():
        worker = ScriptedWorker("w", answer)
        async with data_plane(configuration(), worker) as (port, ingress):
            ingress.state.routes = None
            client = await Client.connect(port)
            await client.send(request(b"/other/x"))
            status, head, _, _ = await client.response()
            assert status == 503 and header(head, b"Retry-After") is not None

    run(scenario())


def test_a_stalled_resumable_stream_continues_at_another_worker(monkeypatch):
    monkeypatch.setattr("molespur.system.data_plane.worker_call.MIN_STREAM_SILENCE_MS", 30.0)

    async def scenario():
        def stall(request):
            if header(request, b"Last-Event-Id") is None:
                return [stream_head(request), chunk(event(1) + b"id: 2"), asyncio.Event()]
            return [stream_head(request, b"s.2"), chunk(event(2)), LAST_CHUNK]

        workers = ScriptedWorker("w", stall), ScriptedWorker("v", stall)
        async with data_plane(configuration("streaming", Resumable=True, MaxAttempts=2), *workers) as (
            port,
            ingress,
        ):
            ingress.state.budget("s").minimum = 50.0
            client = await Client.connect(port)
            await client.send(request())
            _, _, body, complete = await client.response()
            assert complete and body == event(1) + event(2)

    run(scenario())


def test_a_silent_worker_gets_a_hedge_only_for_repeatable_requests(monkeypatch):
    monkeypatch.setattr("molespur.system.data_plane.worker_call.RUN_SILENCE", (0.0, 30.0))

    async def scenario(kind, expected):
        received = []

        def hang_once(request):
            received.append(request)
            return [asyncio.Event()] if len(received) == 1 else answer(request)

        workers = ScriptedWorker("w", hang_once), ScriptedWorker("v", hang_once)
        async with data_plane(configuration(kind, MaxAttempts=2, TimeoutMs=400), *workers) as (port, ingress):
            ingress.state.budget("s").minimum = 50.0
            client = await Client.connect(port)
            await client.send(request())
            assert (await client.response())[0] == expected
            assert len(received) == (2 if kind == "idempotent" else 1)

    run(scenario("idempotent", 200))
    run(scenario("non_idempotent", 504))


def test_a_success_needs_the_workers_stamp_even_as_json():
    async def scenario():
        worker = ScriptedWorker(
            "w", lambda r: answer(r, b"{}", extra=b"Content-Type: application/json\r\n", stamp=False)
        )
        async with data_plane(configuration(), worker) as (port, _):
            client = await Client.connect(port)
            await client.send(request())
            assert (await client.response())[0] == 502

    run(scenario())
