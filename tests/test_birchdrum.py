"""Tests of the installed command: gateways, control calls, single requests, the list service, the demo."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess

import pytest
from birchdrum_command import (
    COMMAND,
    GATEWAY_TOML,
    drop_capabilities,
    environment,
    processes_matching,
    refused,
    run,
)
from conftest import FakeHost, asyncio_test, free_address, until
from registry_processes import PATH, call, registration

PORT_IN_USE = "another process listens there: end it or choose another port"


class Gateway:
    """A ``birchdrum gateway`` process whose list service is unreachable, and its log events."""

    def __init__(self, folder, host: FakeHost | None = None, more: str = "") -> None:
        self.folder = folder
        self.listen, self.control, self.discovery = free_address(), free_address(), free_address()
        self.file = folder / "gw.toml"
        self.text = (
            GATEWAY_TOML.format(listen=self.listen, discovery=self.discovery, control=self.control) + more
        )
        if host:
            dial = f"127.0.0.1:{host.port}"
            self.text += f'\n[[known.hosts]]\nhost = "{host.name}"\ndial = "{dial}"\nsite = "all"\n'
        self.file.write_text(self.text)
        self.events: list[dict] = []

    async def __aenter__(self) -> Gateway:
        arguments = [COMMAND, "gateway", self.file, "--log-form", "json"]
        inherited = environment()
        # With TMPDIR set, the gateway would look for a predecessor process to take over from.
        inherited.pop("TMPDIR", None)
        self.process = await asyncio.create_subprocess_exec(
            *arguments, env=inherited, stderr=asyncio.subprocess.PIPE
        )
        self.reading = asyncio.create_task(self._read())
        while (await asyncio.to_thread(run, "control", "health", "--at", self.control)).returncode != 0:
            assert self.process.returncode is None
        return self

    async def _read(self) -> None:
        while line := await self.process.stderr.readline():
            self.events.append(json.loads(line))

    async def __aexit__(self, *error) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reading

    async def wait_for_event(self, name: str) -> dict:
        """Wait for an event of this name and return the last one."""
        await until(lambda: any(event["event"] == name for event in self.events))
        return [event for event in self.events if event["event"] == name][-1]


@asyncio_test
async def test_requests_control_calls_and_their_exit_codes(tmp_path):
    host = await FakeHost("host-1").listen()
    async with Gateway(tmp_path, host) as gateway:

        async def run_command(*arguments: object) -> tuple[int, str]:
            completed = await asyncio.to_thread(run, *arguments)
            return completed.returncode, completed.stdout.strip()

        call_arguments = ("call", gateway.listen, "--class", "read", "--plan", "team", "--customer", "7")
        code, output = await run_command(*call_arguments, "--json")
        answer = json.loads(output)
        assert (code, answer["outcome"], answer["value"]) == (0, "served", "ok")
        assert host.commands[0][1:3] == [b"%016x" % 7, answer["id"].encode()]
        host.script = lambda command: b"-ERR failed\r\n"
        code, output = await run_command(*call_arguments, "--deadline", "1s")
        assert code in (3, 4) and output.split()[0] in ("failed", "refused")
        host.script = lambda command: b"*1\r\n$2\r\nok\r\n"
        assert (await run_command("call", gateway.listen, "--class", "none", "--plan", "team"))[0] == 4
        code, output = await run_command("call", free_address(), "--class", "read", "--plan", "team")
        assert (code, "connection refused" in output) == (1, True)

        fleet = tmp_path / "fleet.toml"
        unreachable = free_address()
        fleet.write_text(f'[gateways]\ngw-0 = "{gateway.control}"\ngw-1 = "{unreachable}"\n')
        code, output = await run_command("control", "health", "--fleet", fleet, "--json")
        lines = [json.loads(line) for line in output.splitlines()]
        assert code == 1
        assert [(line["gateway"], line["done"]) for line in lines] == [("gw-0", True), ("gw-1", False)]
        only = ("--fleet", fleet, "--only", "gw-0")
        assert (await run_command("control", "offline", "host-1", *only))[0] == 0
        code, output = await run_command(*call_arguments)
        assert code == 3, output
        assert (await run_command("control", "offline", "host-9", *only))[0] == 3
        assert (await run_command("control", "online", "host-1", *only))[0] == 0
        assert (await run_command("control", "leave", "--at", gateway.control))[0] == 0
        assert (await run_command("control", "health", *only))[0] == 3
        assert (await run_command("control", "join", *only))[0] == 0
        assert (await run_command("control", "health", *only))[0] == 0
        gateway.process.terminate()
        assert await asyncio.wait_for(gateway.process.wait(), 10) == 0


@asyncio_test
async def test_sighup_logs_applied_and_pending_changes_and_rejects_an_invalid_file(tmp_path):
    async with Gateway(tmp_path, await FakeHost("host-1").listen()) as gateway:
        assert (await gateway.wait_for_event("discovery_unreachable"))["address"] == gateway.discovery
        gateway.file.write_text("limits = 3\n" + gateway.text)
        gateway.process.send_signal(signal.SIGHUP)
        assert "limits" in (await gateway.wait_for_event("config_unusable"))["error"]
        moved = gateway.text.replace(gateway.discovery, free_address()).replace("rate = 5.0", "rate = 6.0")
        gateway.file.write_text(moved + '\n[log]\nlevel = "warning"\n')
        gateway.process.send_signal(signal.SIGHUP)
        event = await gateway.wait_for_event("config_read")
        assert event["in_force"] == ["discovery", "log_level"] and event["needs_restart"] == [
            "settings.plans"
        ]


def test_missing_permissions_are_reported_in_one_line(tmp_path):
    file = tmp_path / "gw.toml"
    file.write_text(
        GATEWAY_TOML.format(listen="127.0.0.1:81", discovery=free_address(), control=free_address())
    )
    output = failed_start(tmp_path, file.read_text(), preexec_fn=drop_capabilities)
    assert output == "cannot listen for clients at 127.0.0.1:81: no permission: ports below 1024 need it"
    file.chmod(0)
    for arguments in (("gateway",), ("config", "check")):
        assert refused(*arguments, file, preexec_fn=drop_capabilities) == [f"{file}: permission denied"]


def failed_start(tmp_path, text: str, *flags: str, preexec_fn=None) -> str:
    """Start a gateway that must exit with code 1; return its only error line."""
    file = tmp_path / "gw.toml"
    file.write_text(text)
    completed = run("gateway", file, *flags, preexec_fn=preexec_fn)
    assert completed.returncode == 1 and "Traceback" not in completed.stderr
    assert processes_matching(str(file)) == []
    [line] = [line for line in completed.stderr.splitlines() if line.startswith("birchdrum: ")]
    return line.removeprefix("birchdrum: ")


def test_an_address_in_use_or_not_local_is_reported_in_one_line(tmp_path):
    text = GATEWAY_TOML.format(listen=free_address(), discovery=free_address(), control=free_address())
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        for flag, listener in (("listen", "clients"), ("control", "operators"), ("metrics", "metrics")):
            output = failed_start(tmp_path, text, f"--{flag}", address)
            assert output == f"cannot listen for {listener} at {address}: {PORT_IN_USE}"
    output = failed_start(tmp_path, text, "--listen", "192.0.2.1:7000")
    assert output.endswith("this machine has no such address")


INVALID_CALLS = [
    ((), 2, "Usage"),
    (("gatewy",), 2, "gatewy"),
    (("control", "health"), 2, "no gateway is given"),
    (("control", "health", "--at", "nowhere"), 2, "127.0.0.1:6379"),
    (("control", "health", "--only", "a"), 2, "--only requires --fleet"),
    (("call", "127.0.0.1:1"), 2, "--class"),
    (("call", "127.0.0.1:1", "--class", "a", "--plan", "b", "--body", "@/none"), 2, "no such file"),
    (("demo", "--for", "20"), 2, '"250ms"'),
    (("config", "check", "--set", "a", "/none"), 2, "KEY=VALUE"),
    (("registry", "serve", "--listen", "x"), 2, "--operators"),
    (("registry", "agent", "--listen", "x", "--operators", "y", "--follow", "z"), 2, "IPv4 address"),
]


@pytest.mark.parametrize(("arguments", "code", "output"), INVALID_CALLS)
def test_an_invalid_call_is_reported_in_one_line(arguments, code, output):
    completed = run(*arguments)
    assert completed.returncode == code and "Traceback" not in completed.stderr
    assert output in completed.stderr + completed.stdout
    assert len(completed.stderr.splitlines()) == (1 if arguments else 0)


def commands(group: object, arguments: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    """Return the names of all commands and groups."""
    import click

    found = [arguments]
    if isinstance(group, click.Group):
        for name in group.list_commands(click.Context(group)):
            inner = group.get_command(click.Context(group), name)
            found += commands(inner, (*arguments, name))
    return found


def test_each_command_has_help_and_each_shell_has_completion():
    from birchdrum.cli import cli

    command_paths = commands(cli)
    assert (
        ("registry", "agent") in command_paths
        and ("control", "offline") in command_paths
        and len(command_paths) > 18
    )
    shown = [
        subprocess.Popen([COMMAND, *arguments, "--help"], stdout=subprocess.PIPE)
        for arguments in command_paths
    ]
    for arguments, process in zip(command_paths, shown, strict=True):
        text = process.communicate(timeout=60)[0].decode()
        assert process.returncode == 0 and len(text.splitlines()) > 4, arguments
    for shell in ("bash", "zsh", "fish"):
        assert "_BIRCHDRUM_COMPLETE" in run("completion", shell).stdout
    completion_request = {
        "_BIRCHDRUM_COMPLETE": "bash_complete",
        "COMP_WORDS": "birchdrum reg",
        "COMP_CWORD": "1",
    }
    assert "registry" in run(**completion_request).stdout


@asyncio_test
async def test_the_list_service_runs_and_reports_a_missing_store_in_one_line(tmp_path):
    listen, operators, store = free_address(), free_address(), tmp_path / "list.db"
    arguments = ("registry", "serve", "--listen", listen, "--operators", operators, "--store", store)
    # The store doesn't exist, and --new is missing.
    assert "list.db" in (await asyncio.to_thread(run, *arguments)).stderr
    process = await asyncio.create_subprocess_exec(
        COMMAND,
        *map(str, arguments),
        "--new",
        "--settle",
        "0",
        "--metrics",
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        async with asyncio.timeout(20):
            while True:
                try:
                    assert (await call(listen, "PUT", f"{PATH}/s-1", registration())).status == 200
                    break
                except OSError:
                    await asyncio.sleep(0.05)
        copy = await asyncio.to_thread(run, "registry", "backup", store, tmp_path / "copy.db")
        assert copy.returncode == 0 and (tmp_path / "copy.db").exists()
        process.terminate()
        assert await asyncio.wait_for(process.wait(), 10) == 0
    finally:
        if process.returncode is None:
            process.kill()


# -- the demo -------------------------------------------------------------------------------------------


def test_the_demo_enforces_quotas_and_client_and_host_figures_agree():
    completed = run("demo", "--for", "6s", "--json", "--customers", "6")
    assert completed.returncode == 0, completed.stderr
    figures = json.loads(completed.stdout)
    total = figures["total"]
    assert total["served"] > 100 and total["lost"] == 0
    assert total["sent"] == total["served"] + total["refused"] + total["failed"]
    begun = [host["begun"] for host in figures["hosts"]]
    assert len(begun) == 8 and all(begun)  # all hosts were listed and received requests
    assert sum(host["served"] for host in figures["hosts"]) >= total["served"]
    assert sum(figures["refused_by_cause"].values()) == total["refused"]
    over = [row for row in figures["customers"] if row["asked_of_quota"] > 1.5]
    assert over and all(row["refused"] > 0 and row["used_of_quota"] <= 1.1 for row in over)


def demo(tmp_path, *arguments: str) -> subprocess.Popen:
    """Start a demo that runs until it is stopped and keeps its files in this directory."""
    inside = environment(TMPDIR=str(tmp_path))
    pipe = subprocess.PIPE
    return subprocess.Popen([COMMAND, "demo", *arguments], env=inside, stdout=pipe, stderr=pipe, text=True)


@pytest.mark.parametrize("end", [signal.SIGINT, signal.SIGHUP, signal.SIGKILL])
def test_the_demo_leaves_no_processes_or_files_however_it_ends(end, tmp_path):
    process = demo(tmp_path, "--gateways", "2")
    try:
        lines = [process.stdout.readline() for _ in range(5)]
        assert "birchdrum call" in lines[3], (lines, process.poll())
        assert len(processes_matching(str(tmp_path))) == 3
        os.kill(process.pid, end)
        out, errors = process.communicate(timeout=30)
        if end is not signal.SIGKILL:
            assert process.returncode == 0, errors
            assert "served" in out and list(tmp_path.iterdir()) == []

        @asyncio_test
        async def gone() -> None:
            await until(lambda: processes_matching(str(tmp_path)) == [], 20)

        gone()
    finally:
        process.kill()


def test_the_demo_reports_a_dead_gateway_and_stops_all_processes(tmp_path):
    process = demo(tmp_path)
    try:
        for _ in range(5):  # of the usage lines, printed together once the fleet has started
            process.stdout.readline()
        [victim] = processes_matching(rf"{tmp_path}.*/gw-1.toml")
        os.kill(victim, signal.SIGKILL)
        _, errors = process.communicate(timeout=30)
        assert process.returncode == 1 and "gw-1 ended with -9" in errors and "Traceback" not in errors
        assert processes_matching(str(tmp_path)) == []
    finally:
        process.kill()


@pytest.mark.parametrize("trouble", ["pause", "kill", "cut"])
def test_the_demo_injects_a_fault_and_reports_the_requests_lost_to_it(trouble, tmp_path):
    completed = run("demo", "--for", "9s", "--trouble", trouble, "--json", TMPDIR=str(tmp_path))
    assert completed.returncode == 0, completed.stderr
    figures = json.loads(completed.stdout)
    trouble_figures = figures["trouble"]
    assert (trouble_figures["what"], trouble_figures["gateway"]) == (trouble, "gw-1")
    assert 2.5 < trouble_figures["began_s"] < 5 and 2.5 < trouble_figures["lasted_s"] < 6
    assert trouble_figures["lost_by_it"] + trouble_figures["lost_besides"] == figures["total"]["lost"]
    assert trouble_figures["lost_besides"] == 0
    assert (trouble_figures["lost_by_it"] > 0) is (trouble != "cut")
    assert processes_matching(str(tmp_path)) == []


def test_a_fault_needs_a_second_gateway():
    assert refused("demo", "--gateways", "1", "--trouble", "kill") == ["--trouble needs at least 2 gateways"]
