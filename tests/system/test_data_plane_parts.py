"""The small pure modules of the data plane: events, routes, budget, load, request and response heads."""

from collections import Counter
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wire import settings

from molespur.system.data_plane.answer_checks import check_head, read_handle
from molespur.system.data_plane.budget import RetryBudget
from molespur.system.data_plane.client_request import demand_of, read_head
from molespur.system.data_plane.events import EventFilter, follows
from molespur.system.data_plane.load import LoadMeter
from molespur.system.data_plane.routes import RouteTable
from molespur.system.data_plane.state import DataPlaneState
from molespur.system.data_plane.upstream import Head, UpstreamError
from molespur.system.errors import ErrorKind, FleetError
from molespur.system.settings.configuration import Configuration, Engine, Limits, Route, Service, Weight

STREAM = b"".join(b"id: %d\ndata: token id: %d\n\n" % (n, n) for n in range(1, 8))


@given(cuts=st.lists(st.integers(1, len(STREAM) - 1), max_size=12))
def test_only_complete_events_are_passed_on_however_they_are_split(cuts):
    events, out = EventFilter(), b""
    edges = [0, *sorted(cuts), len(STREAM)]
    for start, end in pairwise(edges):
        out += events.feed(STREAM[start:end])
        assert out.endswith(b"\n\n") or not out
        assert STREAM.startswith(out)
    assert out == STREAM and events.last_id == b"7"


def test_a_resumed_stream_continues_after_the_last_complete_event():
    events = EventFilter()
    events.feed(b"id: 3\ndata: x\n\nid: 4\nda")
    assert events.last_id == b"3"
    resumed = EventFilter(events.last_id)
    assert resumed.feed(b"id: 4\ndata: y\n\n") == b"id: 4\ndata: y\n\n"
    assert resumed.last_id == b"4" and events.take_rest() == b"id: 4\nda"


@pytest.mark.parametrize(
    ("events", "last_id", "expected"),
    [
        (b"id: 4\ndata: x\n\n", b"3", True),
        (b"id: 3\ndata: x\n\n", b"3", False),
        (b"versions: 7\nid: 3\ndata: x\n\n", b"3", False),
        (b"data: id: 2\nid: 10\n\n", b"9", True),
        (b"data: no id\n\n", b"3", True),
        (b"id: a\n\n", b"3", True),
    ],
)
def test_events_that_the_client_already_has_do_not_follow(events, last_id, expected):
    assert follows(events, last_id) is expected


def test_the_filter_knows_the_weights_that_events_come_from():
    events = EventFilter(versions=b"1")
    events.feed(b"id: 1\ndata: versions: 9\n\n")
    assert events.versions == b"1"
    events.feed(b"versions: 2\nid: 2\ndata: x\n\n")
    assert events.versions == b"2"


def table(*prefixes):
    routes = tuple(Route(p, "Shop.example", p, service="s") for p in prefixes)
    return RouteTable(Configuration(1, routes, (Service("s"),)))


@pytest.mark.parametrize(
    ("path", "found"),
    [
        ("/a/b/c", "/a/b/"),
        ("/a/x", "/a/"),
        ("/a/b", "/a/"),
        ("/a/b/", "/a/b/"),
        ("/b/a/", "/"),
        ("/ab/c", "/"),
    ],
)
def test_the_longest_prefix_wins(path, found):
    assert table("/", "/a/", "/a/b/").find("shop.example:8080", path).name == found


def test_an_unknown_host_or_path_has_no_route():
    assert table("/a/").find("other.example", "/a/b") is None
    assert table("/a/").find("shop.example", "/b/") is None


@given(arrivals=st.lists(st.tuples(st.floats(0, 400), st.booleans()), max_size=200), count=st.integers(1, 9))
def test_the_budget_holds_in_every_window(arrivals, count):
    budget, now, requests, repeats = RetryBudget(0.2, 54.0, 10_000.0), 0.0, [], []
    budget.set_scheduler_count(0.0, count)
    for gap, repeat in arrivals:
        now += gap
        budget.set_scheduler_count(now, count)
        if repeat:
            if budget.spend(now):
                repeats.append(now)
        else:
            budget.count_request(now)
            requests.append(now)
        window = [t for t in repeats if t > now - 10_000.0]
        allowed = 0.2 * sum(t >= now - 10_000.0 for t in requests) + 54.0 / count
        assert len(window) <= allowed + 1e-9 or not repeat


def test_a_scheduler_that_does_not_know_the_number_of_schedulers_spends_little():
    budget = RetryBudget(0.2, 54.0, 10_000.0)
    assert not any(budget.spend(0.0) for _ in range(5))


def test_the_highest_recent_number_of_schedulers_divides_the_budget():
    budget = RetryBudget(0.0, 54.0, 10_000.0)
    budget.set_scheduler_count(0.0, 9)
    budget.set_scheduler_count(100.0, 1)
    assert sum(budget.spend(100.0) for _ in range(50)) <= 54 / 9


def test_the_load_meter_drops_old_prefills():
    meter = LoadMeter()
    meter.record_prefill(0.0, 3000.0)
    assert meter.prefill_tokens_per_s(10.0) == 6000.0, "the first span counts as at least half a second"
    meter.record_prefill(3000.0, 3000.0)
    assert meter.prefill_tokens_per_s(3000.0) == 2000.0
    assert meter.prefill_tokens_per_s(4000.0) == 1000.0
    assert meter.prefill_tokens_per_s(9000.0) == 0.0


def scope(*headers, path=b"/a/b", query=b"x=%20y"):
    named = [(b"Host", b"shop.example"), (b"Molespur-Attempt-Id", b"abc"), *headers]
    return {"method": "POST", "raw_path": path, "query_string": query, "headers": named}


def test_a_head_is_forwarded_unchanged_except_for_hop_by_hop_and_scheduler_headers():
    request = read_head(
        scope(
            (b"X-Own", b"1"),
            (b"Connection", b"keep-alive, X-Hop"),
            (b"X-Hop", b"2"),
            (b"Kv-From", b"forged"),
            (b"Priority", b"0"),
            (b"Molespur-Serving-Phase", b"prefill"),
            (b"Molespur-Expected-Instance", b"i-1"),
            (b"Molespur-Deadline-Ms", b"900"),
            (b"Transfer-Encoding", b"chunked"),
        ),
        Limits(),
    )
    assert request.target == b"/a/b?x=%20y" and request.deadline_ms == 900.0
    names = [name.lower() for name, _ in request.headers]
    assert names == [b"host", b"molespur-attempt-id", b"x-own"]


def test_a_connection_header_does_not_remove_end_to_end_headers():
    named = (b"Molespur-Model", b"Molespur-Prompt-Prefix", b"Molespur-Attempt-Id")
    request = read_head(
        scope((b"Connection", b", ".join(named)), (named[0], b"m"), (named[1], b"a:1")), Limits()
    )
    assert {name for name, _ in request.headers} >= set(named) and request.prefix == b"a:1"


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 0, 3), (5, 5, 90)])
def test_the_services_of_a_split_have_their_shares_after_a_few_dozen_requests(weights):
    targets = tuple(Weight(f"s{n}", weight) for n, weight in enumerate(weights))
    for seed in range(20):
        state = DataPlaneState(settings(), Random(seed))
        route = Route("r", "h", "/", traffic_split=targets)
        picked = Counter(state.pick_service(route) for _ in range(40))
        for target in targets:
            wanted = 40 * target.weight / sum(weights)
            assert abs(picked[target.service] - wanted) <= 2 and (target.weight or not picked[target.service])


def test_invalid_heads_are_refused():
    with pytest.raises(FleetError) as raised:
        read_head(scope((b"X", b"y" * 20_000)), Limits())
    assert raised.value.kind is ErrorKind.HEADERS_TOO_LARGE
    without_attempt_id = {
        "method": "GET",
        "raw_path": b"/",
        "query_string": b"",
        "headers": [(b"Host", b"h")],
    }
    with pytest.raises(FleetError) as raised:
        read_head(without_attempt_id, Limits())
    assert raised.value.kind is ErrorKind.MALFORMED


@pytest.mark.parametrize("prefix", [b"", b"5c1e:x", b"5c1e", b":3", b"a:1,,b:2"])
def test_a_prefix_that_cannot_be_parsed_counts_as_none(prefix):
    request = read_head(
        scope((b"Molespur-Token-Usage", b"1460,80"), (b"Molespur-Prompt-Prefix", prefix)), Limits()
    )
    route = Route("r", "shop.example", "/a/", service="s")
    demand = demand_of(request, route, Service("s", engine=Engine()), 0.0, lowest_priority=False)
    assert demand.segments == () and demand.tokens == 1460.0


def head(status, **headers):
    return Head(status, [(k.replace("_", "-").encode(), v) for k, v in headers.items()])


@pytest.mark.parametrize(
    ("answer", "failure"),
    [
        (head(200, molespur_attempt_id=b"abc", molespur_server_stamp=b"s"), None),
        (head(500, molespur_attempt_id=b"abc", molespur_server_stamp=b"s"), None),
        (head(200, molespur_attempt_id=b"other", molespur_server_stamp=b"s"), "may-have-run"),
        (head(200, molespur_attempt_id=b"abc"), "may-have-run"),
        (
            head(200, molespur_attempt_id=b"abc", molespur_server_stamp=b"s", content_encoding=b"gzip"),
            "may-have-run",
        ),
        (head(503, molespur_attempt_id=b"abc", molespur_not_executed=b"1"), "rejected"),
        (head(503, molespur_not_executed=b"1"), "may-have-run"),
        (head(421, molespur_instance_id=b"i"), "may-have-run"),
        (head(421, molespur_attempt_id=b"abc", molespur_instance_id=b"i"), "rejected"),
        (head(503, molespur_attempt_id=b"abc", molespur_server_stamp=b"s"), "may-have-run"),
        (head(429, molespur_attempt_id=b"abc"), "may-have-run"),
        (head(302, molespur_attempt_id=b"abc"), "may-have-run"),
    ],
)
def test_which_responses_of_a_worker_go_to_the_client(answer, failure):
    if failure is None:
        check_head(answer, b"abc")
        return
    with pytest.raises(UpstreamError) as raised:
        check_head(answer, b"abc")
    assert raised.value.failure.value == failure


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"PrefillHandle": 3}', b'{"PrefillHandle": "a/../b"}'])
def test_a_prefill_response_without_a_valid_handle_fails(body):
    with pytest.raises(UpstreamError):
        read_handle(body)
