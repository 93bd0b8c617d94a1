"""What the gateways of a fleet hold of each other, side by side."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from . import calling

SIGNS = {"alive": "+", "suspect": "?", "gone": "x", "left": "-", "unknown": "."}


def _kind(table: dict[str, Any], rank: int) -> str:
    state = str(table["members"][str(rank)][0])
    return "here" if state in ("alive", "suspect") else state


@dataclass(frozen=True, slots=True)
class Views:
    """By name, each gateway's table as ``MEMBERS`` tells it; ``missing`` says why others have none."""

    tables: dict[str, dict[str, Any]]
    missing: dict[str, str]

    @property
    def disagreements(self) -> list[str]:
        """What the tables do not hold alike, and what gateways say of their own sight."""
        told = []
        for name, table in self.tables.items():
            for key, text in (
                ("yielded", "has yielded to another process under its rank"),
                ("cut_off", "hears nobody"),
                ("unheard", "is not heard by most of those that it hears"),
                ("doubtful", "stood still and knows nothing fresh yet"),
            ):
                if table[key]:
                    told.append(f"{name} {text}")
        tables = [table for table in self.tables.values() if not table["yielded"]]
        for rank in sorted({int(rank) for table in tables for rank in table["members"]}):
            by: dict[str, list[str]] = {}
            for table in tables:
                if table["rank"] != rank:
                    by.setdefault(_kind(table, rank), []).append(str(table["rank"]))
            if len(by) > 1:
                words = (f"{kind} by {', '.join(ranks)}" for kind, ranks in sorted(by.items()))
                told.append(f"rank {rank}: {'; '.join(words)}")
        links = sorted({tuple(ends) for table in tables for ends in table["links_down"]})
        told += [f"nothing passes from rank {a} to rank {b}" for a, b in links]
        return told

    def fields(self) -> dict[str, Any]:
        """For machines."""
        return {"views": self.tables, "missing": self.missing, "disagreements": self.disagreements}

    def lines(self) -> list[str]:
        """A row a gateway, a column a rank."""
        done = [f"{name}: {why}" for name, why in self.missing.items()]
        if self.tables:
            ranks = sorted({int(rank) for table in self.tables.values() for rank in table["members"]})
            ranks = sorted({*ranks, *(table["rank"] for table in self.tables.values())})
            wide = max(len(str(ranks[-1])), 1)
            name = max(len(name) for name in self.tables)
            done.append(" ".join([" " * name, *(str(rank).rjust(wide) for rank in ranks)]))
            for row, table in self.tables.items():
                states = (table["members"].get(str(rank), ["itself"])[0] for rank in ranks)
                signs = [SIGNS.get(state, "@") for state in states]
                done.append(" ".join([row.ljust(name), *(sign.rjust(wide) for sign in signs)]))
            legend = ", ".join(f"{sign} {state}" for state, sign in SIGNS.items())
            done.append(f"@ itself, {legend}")
        return done + (self.disagreements or (["all hold the same"] if self.tables else []))


def gather(gateways: dict[str, calling.HostPort], within: float) -> Views:
    """Ask each of them at once."""
    tables, missing = {}, {}
    for answer in calling.call_all(gateways, "MEMBERS", within):
        if answer.accepted and answer.reply:
            tables[answer.name] = json.loads(answer.reply.removeprefix("done "))
        else:
            missing[answer.name] = answer.reply or f"not reached: {answer.failure}"
    return Views(tables, missing)
