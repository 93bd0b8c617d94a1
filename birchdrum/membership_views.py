"""Compares the membership tables of the gateways of a fleet."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from . import gateway_client

STATE_SYMBOLS = {"alive": "+", "suspect": "?", "gone": "x", "left": "-", "unknown": "."}


def _compared_state(table: dict[str, Any], rank: int) -> str:
    """Return a member's state for comparison: views may differ in whether a present member is suspected."""
    state = str(table["members"][str(rank)][0])
    return "here" if state in ("alive", "suspect") else state


@dataclass(frozen=True, slots=True)
class MembershipViews:
    """Each gateway's answer to ``MEMBERS``, by name; ``missing`` has the reason where there is none."""

    tables: dict[str, dict[str, Any]]  # see saffrongw.members; a table's members lack its own rank
    missing: dict[str, str]

    @property
    def disagreements(self) -> list[str]:
        """The differences between the tables, and problems that gateways report of their own view."""
        findings = []
        for name, table in self.tables.items():
            for key, text in (
                ("yielded", "has yielded to another process under its rank"),
                ("cut_off", "receives from no other gateway"),
                ("unheard", "does not reach most of the gateways that it receives from"),
                ("doubtful", "was paused and has not received from enough gateways since"),
            ):
                if table[key]:
                    findings.append(f"{name} {text}")
        tables = [table for table in self.tables.values() if not table["yielded"]]
        for rank in sorted({int(rank) for table in tables for rank in table["members"]}):
            ranks_by_state: dict[str, list[str]] = {}
            for table in tables:
                if table["rank"] != rank:
                    ranks_by_state.setdefault(_compared_state(table, rank), []).append(str(table["rank"]))
            if len(ranks_by_state) > 1:
                parts = (
                    f"{state} according to {', '.join(ranks)}"
                    for state, ranks in sorted(ranks_by_state.items())
                )
                findings.append(f"rank {rank}: {'; '.join(parts)}")
        links = sorted({tuple(link) for table in tables for link in table["links_down"]})
        findings += [f"no messages pass from rank {source} to rank {target}" for source, target in links]
        return findings

    def fields(self) -> dict[str, Any]:
        """Return the fields of the JSON output."""
        return {"views": self.tables, "missing": self.missing, "disagreements": self.disagreements}

    def lines(self) -> list[str]:
        """Format a matrix with one row per gateway and one column per rank."""
        lines = [f"{name}: {reason}" for name, reason in self.missing.items()]
        if self.tables:
            ranks = sorted({int(rank) for table in self.tables.values() for rank in table["members"]})
            ranks = sorted({*ranks, *(table["rank"] for table in self.tables.values())})
            column_width = max(len(str(ranks[-1])), 1)
            name_width = max(len(name) for name in self.tables)
            lines.append(" ".join([" " * name_width, *(str(rank).rjust(column_width) for rank in ranks)]))
            for gateway, table in self.tables.items():
                states = (table["members"].get(str(rank), ["itself"])[0] for rank in ranks)
                symbols = [STATE_SYMBOLS.get(state, "@") for state in states]
                lines.append(
                    " ".join([gateway.ljust(name_width), *(symbol.rjust(column_width) for symbol in symbols)])
                )
            legend = ", ".join(f"{symbol} {state}" for state, symbol in STATE_SYMBOLS.items())
            lines.append(f"@ itself, {legend}")
        return lines + (self.disagreements or (["all views agree"] if self.tables else []))


def gather(gateways: dict[str, gateway_client.HostPort], timeout: float) -> MembershipViews:
    """Request the tables of all gateways concurrently."""
    tables = {}
    missing = {}
    for answer in gateway_client.call_all(gateways, "MEMBERS", timeout):
        if answer.accepted and answer.reply:
            tables[answer.name] = json.loads(answer.reply.removeprefix("done "))
        else:
            missing[answer.name] = answer.reply or f"not reached: {answer.failure}"
    return MembershipViews(tables, missing)
