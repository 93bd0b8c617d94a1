"""The installed command: gateways, operators' calls, requests by hand, the list service, the demo."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess

import pytest
from command import COMMAND, GATEWAY_TOML, drop_capabilities, environment, processes_matching, refused, run
from conftest import FakeHost, asyncio_test, free_address, until
from listing import PATH, call
from listing import host as listed_host

PORT_IN_USE = "another process listens there: end it or choose another port"


class Gateway:
    """``birchdrum gateway`` with a file of ours, a list service that is not there, and what it logged."""

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
        words = [COMMAND, "gateway", self.file, "--log-form", "json"]
        kept = environment()
        kept.pop("TMPDIR", None)
        self.process = await asyncio.create_subprocess_exec(*words, env=kept, stderr=asyncio.subprocess.PIPE)
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

    async def told(self, name: str) -> dict:
        """The last event of this name, once there is one."""
        await until(lambda: any(event["event"] == name for event in self.events))
        return [event for event in self.events if event["event"] == name][-1]


@asyncio_test
async def test_requests_and_operators_calls_by_hand_and_the_exit_codes_that_scripts_use(tmp_path):
    host = await FakeHost("host-1").listen()
    async with Gateway(tmp_path, host) as gateway:

        async def by_hand(*words: object) -> tuple[int, str]:
            ended = await asyncio.to_thread(run, *words)
            return ended.returncode, ended.stdout.strip()

        ask = ("call", gateway.listen, "--class", "read", "--plan", "team", "--customer", "7")
        code, said = await by_hand(*ask, "--json")
        answer = json.loads(said)
        assert (code, answer["outcome"], answer["value"]) == (0, "served", "ok")
        assert host.commands[0][1:3] == [b"%016x" % 7, answer["id"].encode()]
        host.script = lambda command: b"-ERR failed\r\n"
        code, said = await by_hand(*ask, "--deadline", "1s")
        assert code in (3, 4) and said.split()[0] in ("failed", "refused")
        host.script = lambda command: b"*1\r\n$2\r\nok\r\n"
        assert (await by_hand("call", gateway.listen, "--class", "none", "--plan", "team"))[0] == 4
        code, said = await by_hand("call", free_address(), "--class", "read", "--plan", "team")
        assert (code, "connection refused" in said) == (1, True)

        fleet = tmp_path / "fleet.toml"
        nobody = free_address()
        fleet.write_text(f'[gateways]\ngw-0 = "{gateway.control}"\ngw-1 = "{nobody}"\n')
        code, said = await by_hand("control", "health", "--fleet", fleet, "--json")
        lines = [json.loads(line) for line in said.splitlines()]
        assert code == 1
        assert [(line["gateway"], line["done"]) for line in lines] == [("gw-0", True), ("gw-1", False)]
        only = ("--fleet", fleet, "--only", "gw-0")
        assert (await by_hand("control", "offline", "host-1", *only))[0] == 0
        code, said = await by_hand(*ask)
        assert code == 3, said
        assert (await by_hand("control", "offline", "host-9", *only))[0] == 3
        assert (await by_hand("control", "online", "host-1", *only))[0] == 0
        assert (await by_hand("control", "leave", "--at", gateway.control))[0] == 0
        assert (await by_hand("control", "health", *only))[0] == 3
        assert (await by_hand("control", "join", *only))[0] == 0
        assert (await by_hand("control", "health", *only))[0] == 0
        gateway.process.terminate()
        assert await asyncio.wait_for(gateway.process.wait(), 10) == 0


@asyncio_test
async def test_sighup_tells_what_is_in_force_and_what_waits_and_a_bad_file_changes_nothing(tmp_path):
    async with Gateway(tmp_path, await FakeHost("host-1").listen()) as gateway:
        assert (await gateway.told("discovery_unreachable"))["address"] == gateway.discovery
        gateway.file.write_text("limits = 3\n" + gateway.text)
        gateway.process.send_signal(signal.SIGHUP)
        assert "limits" in (await gateway.told("config_unusable"))["error"]
        moved = gateway.text.replace(gateway.discovery, free_address()).replace("rate = 5.0", "rate = 6.0")
        gateway.file.write_text(moved + '\n[log]\nlevel = "warning"\n')
        gateway.process.send_signal(signal.SIGHUP)
        event = await gateway.told("config_read")
        assert event["in_force"] == ["discovery", "log_level"] and event["needs_restart"] == [
            "settings.plans"
        ]


def test_what_is_not_permitted_is_told_in_one_line(tmp_path):
    file = tmp_path / "gw.toml"
    file.write_text(
        GATEWAY_TOML.format(listen="127.0.0.1:81", discovery=free_address(), control=free_address())
    )
    said = starts_nothing(tmp_path, file.read_text(), preexec_fn=drop_capabilities)
    assert said == "cannot listen for clients at 127.0.0.1:81: no permission: ports below 1024 need it"
    file.chmod(0)
    for words in (("gateway",), ("config", "check")):
        assert refused(*words, file, preexec_fn=drop_capabilities) == [f"{file}: permission denied"]


def starts_nothing(tmp_path, text: str, *flags: str, preexec_fn=None) -> str:
    """A gateway that must end at once with 1; its one line."""
    file = tmp_path / "gw.toml"
    file.write_text(text)
    ended = run("gateway", file, *flags, preexec_fn=preexec_fn)
    assert ended.returncode == 1 and "Traceback" not in ended.stderr
    assert processes_matching(str(file)) == []
    [line] = [line for line in ended.stderr.splitlines() if line.startswith("birchdrum: ")]
    return line.removeprefix("birchdrum: ")


def test_an_address_that_is_taken_or_not_ours_ends_the_start_in_one_line(tmp_path):
    text = GATEWAY_TOML.format(listen=free_address(), discovery=free_address(), control=free_address())
    with socket.create_server(("127.0.0.1", 0)) as taken:
        where = f"127.0.0.1:{taken.getsockname()[1]}"
        for flag, what in (("listen", "clients"), ("control", "operators"), ("metrics", "metrics")):
            said = starts_nothing(tmp_path, text, f"--{flag}", where)
            assert said == f"cannot listen for {what} at {where}: {PORT_IN_USE}"
    said = starts_nothing(tmp_path, text, "--listen", "192.0.2.1:7000")
    assert said.endswith("this machine has no such address")


WRONG_CALLS = [
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


@pytest.mark.parametrize(("words", "code", "said"), WRONG_CALLS)
def test_a_wrong_call_is_told_in_one_line(words, code, said):
    ended = run(*words)
    assert ended.returncode == code and "Traceback" not in ended.stderr
    assert said in ended.stderr + ended.stdout
    assert len(ended.stderr.splitlines()) == (1 if words else 0)


def commands(group: object, words: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    """Every command that there is."""
    import click

    found = [words]
    if isinstance(group, click.Group):
        for name in group.list_commands(click.Context(group)):
            inner = group.get_command(click.Context(group), name)
            found += commands(inner, (*words, name))
    return found


def test_each_command_has_help_and_each_shell_its_completion():
    from birchdrum.cli import cli

    listed = commands(cli)
    assert ("registry", "agent") in listed and ("control", "offline") in listed and len(listed) > 18
    shown = [subprocess.Popen([COMMAND, *words, "--help"], stdout=subprocess.PIPE) for words in listed]
    for words, process in zip(listed, shown, strict=True):
        text = process.communicate(timeout=60)[0].decode()
        assert process.returncode == 0 and len(text.splitlines()) > 4, words
    for shell in ("bash", "zsh", "fish"):
        assert "_BIRCHDRUM_COMPLETE" in run("completion", shell).stdout
    words = {"_BIRCHDRUM_COMPLETE": "bash_complete", "COMP_WORDS": "birchdrum reg", "COMP_CWORD": "1"}
    assert "registry" in run(**words).stdout


@asyncio_test
async def test_the_list_service_runs_by_the_same_command_and_tells_what_is_wrong_in_one_line(tmp_path):
    listen, operators, store = free_address(), free_address(), tmp_path / "list.db"
    words = ("registry", "serve", "--listen", listen, "--operators", operators, "--store", store)
    assert "list.db" in (await asyncio.to_thread(run, *words)).stderr  # there is none, and --new was not said
    process = await asyncio.create_subprocess_exec(
        COMMAND, *map(str, words), "--new", "--settle", "0", "--metrics", stderr=asyncio.subprocess.DEVNULL
    )
    try:
        async with asyncio.timeout(20):
            while True:
                try:
                    assert (await call(listen, "PUT", f"{PATH}/s-1", listed_host())).status == 200
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


def test_the_demo_serves_under_quotas_and_what_clients_and_hosts_saw_agrees():
    ended = run("demo", "--for", "6s", "--json", "--customers", "6")
    assert ended.returncode == 0, ended.stderr
    figures = json.loads(ended.stdout)
    total = figures["total"]
    assert total["served"] > 100 and total["lost"] == 0
    assert total["sent"] == total["served"] + total["refused"] + total["failed"]
    begun = [host["begun"] for host in figures["hosts"]]
    assert len(begun) == 8 and all(begun)  # each host was listed, and used
    assert sum(host["served"] for host in figures["hosts"]) >= total["served"]
    assert sum(figures["refused_by_cause"].values()) == total["refused"]
    over = [row for row in figures["customers"] if row["asked_of_quota"] > 1.5]
    assert over and all(row["refused"] > 0 and row["used_of_quota"] <= 1.1 for row in over)


def demo(tmp_path, *words: str) -> subprocess.Popen:
    """One that goes on, with its files in this folder."""
    inside = environment(TMPDIR=str(tmp_path))
    pipe = subprocess.PIPE
    return subprocess.Popen([COMMAND, "demo", *words], env=inside, stdout=pipe, stderr=pipe, text=True)


@pytest.mark.parametrize("end", [signal.SIGINT, signal.SIGHUP, signal.SIGKILL])
def test_nothing_is_left_whatever_ends_the_demo(end, tmp_path):
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


def test_a_demo_whose_gateway_dies_says_so_and_ends_all(tmp_path):
    process = demo(tmp_path)
    try:
        for _ in range(5):
            process.stdout.readline()
        [victim] = processes_matching(rf"{tmp_path}.*/gw-1.toml")
        os.kill(victim, signal.SIGKILL)
        _, errors = process.communicate(timeout=30)
        assert process.returncode == 1 and "gw-1 ended with -9" in errors and "Traceback" not in errors
        assert processes_matching(str(tmp_path)) == []
    finally:
        process.kill()


@pytest.mark.parametrize("trouble", ["pause", "kill", "cut"])
def test_the_demo_shows_a_fault_and_tells_what_was_lost_by_it(trouble, tmp_path):
    ended = run("demo", "--for", "9s", "--trouble", trouble, "--json", TMPDIR=str(tmp_path))
    assert ended.returncode == 0, ended.stderr
    figures = json.loads(ended.stdout)
    told = figures["trouble"]
    assert (told["what"], told["gateway"]) == (trouble, "gw-1")
    assert 2.5 < told["began_s"] < 5 and 2.5 < told["lasted_s"] < 6
    assert told["lost_by_it"] + told["lost_besides"] == figures["total"]["lost"]
    assert told["lost_besides"] == 0
    assert (told["lost_by_it"] > 0) is (trouble != "cut")
    assert processes_matching(str(tmp_path)) == []


def test_a_trouble_needs_another_gateway():
    assert refused("demo", "--gateways", "1", "--trouble", "kill") == ["--trouble needs at least 2 gateways"]
