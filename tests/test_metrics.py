"""GET /metrics of a gateway and of a list service, parsed by the Prometheus client library."""

from __future__ import annotations

import re
from pathlib import Path

from conftest import RAW_SETTINGS, FakeHost, GatewayProcesses, asyncio_test, free_address
from prometheus_client.parser import text_string_to_metric_families
from registry_processes import Connection, Registry, call

from saffrongw import metrics

SOURCES = Path(metrics.__file__).parent


async def scrape(address: str) -> dict[tuple[str, tuple], float]:
    """Return all samples by name and labels."""
    connection = await Connection.open(address)
    connection.writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    head, _, body = (await connection.reader.read()).partition(b"\r\n\r\n")
    connection.close()
    assert b" 200 " in head.split(b"\r\n")[0] and b"text/plain" in head, head
    families = text_string_to_metric_families(body.decode())
    return {(s.name, tuple(sorted(s.labels.items()))): s.value for f in families for s in f.samples}


@asyncio_test
async def test_a_gateway_counts_by_class_outcome_and_zone_and_clients_cannot_add_labels(tmp_path):
    hosts = [await FakeHost("a").listen(), await FakeHost("b").listen()]
    hosts[1].script = lambda command: b"-ERR failed\r\n"
    address = free_address()
    plan = RAW_SETTINGS["packages"][0]
    low_quota = [plan | {"perSecond": 0.1, "peakUnits": 4.0}]
    async with GatewayProcesses(tmp_path, hosts[0], packages=low_quota) as gateway:
        gateway.configuration["metrics"] = address
        gateway.configuration["known"]["hosts"].append(hosts[1].list_entry(site="nowhere"))
        await gateway.start()
        before = await scrape(address)
        client = await gateway.connect_client()
        for number in range(40):  # several customers, each request with its own id
            terms = b"c=read,t=team,d=2000,units=1,spread=1,first=0"
            words = (b"CALL.GET", b"%016x" % (number % 5), b"id%d" % number, terms)
            client.send_command(*words)
            await client.wait_for_replies(number + 1)
        client.send_command(b"CALL.GET", b"zzz", b"\xff", b"c=nothing")
        await client.wait_for_replies(41)
        after = await scrape(address)
        served = [r for r in client.replies if r == b"ok"]
        refused = [r for r in client.replies if str(r).startswith("BUSY")]
        assert served and refused
        served_reads = (("class", "read"), ("outcome", "served"))
        by_zone = {
            zone: after.get(("birchdrum_answer_seconds_count", (*served_reads, ("zone", zone))), 0)
            for zone in ("hall-a", "none")
        }
        assert by_zone == {"hall-a": len(served), "none": 0}
        assert after["birchdrum_requests_total", ()] == 40
        assert after["birchdrum_served_total", ()] == len(served)
        assert after["birchdrum_refused_total", (("cause", "quota"),)] == len(refused)
        assert after["birchdrum_client_malformed_total", ()] == 1
        assert after["birchdrum_ready", ()] == 1 and after["birchdrum_hosts", ()] == 2
        attempt_count = sum(v for (name, _), v in after.items() if name == "birchdrum_attempt_seconds_count")
        assert attempt_count == sum(v for (name, _), v in after.items() if name == "birchdrum_attempts_total")
        # One class, the observed outcomes, the zones: customers and requests add no samples.
        assert len(after) - len(before) <= (len(metrics.BUCKETS) + 3) * 6
        assert not any("id1" in str(labels) for _, labels in after)
        assert (await call(address, "GET", "/figures")).status == 404
        assert (await call(address, "POST", "/metrics")).status == 404


def test_every_counter_in_the_code_is_exported():
    """Every literal counter name in the code must be declared, so that none is missing in monitoring."""
    counted = set()
    for file in SOURCES.glob("*.py"):
        counted |= set(re.findall(r'stats\["(\w+)"\]', file.read_text()))
    labelled = {prefix + value for prefix, _, _, _, values in metrics.LABELLED_COUNTERS for value in values}
    assert len(counted) > 15
    assert counted - set(metrics.COUNTERS) - labelled == set()


@asyncio_test
async def test_the_list_service_exports_metrics_only_if_enabled(tmp_path):
    async with Registry(tmp_path) as registry:
        plain = await registry.node("plain").start("--new")
        refused = await call(plain.operators, "GET", "/metrics")
        assert refused.status == 404 and "--metrics" in refused["error"]
        node = await registry.node("told").start("--new", "--metrics")
        assert (await node.put("s-1")).status == 200
        page = await scrape(node.operators)
        assert page["birchdrum_registry_hosts", (("state", "SERVING"),)] == 1
        assert page["birchdrum_registry_seq", ()] == (await node.figures())["seq"]
        assert page["birchdrum_registry_calls_total", (("end", "answered"),)] >= 1
        assert page["birchdrum_log_lines_kept_back_total", ()] == 0
