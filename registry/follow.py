"""A watch on one of several services, for followers and agents."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import h11

from ops import logs

from .entries import Invalid, News, digits, parse_news
from .ledger import Ledger

log = logs.get(__name__)

PATH = "/registry/instances"
LIFE = "Registry-Life"  # the header that tells the life of a list
WAIT = 5.0  # seconds that a call may wait for news: until then nothing tells a quiet service from a hung one
ANSWER_WITHIN = 2.0  # seconds beyond that
CONNECT_WITHIN = 1.0
BACK_OFF, BACK_OFF_MOST = 0.1, 5.0  # seconds before the next try, doubled with each failure
BODY_MOST = 16 * 1024 * 1024

Address = tuple[str, int]


@dataclass(slots=True)
class Answer:
    """One answer of a service."""

    status: int
    headers: dict[str, str]
    body: bytes
    again: bool  # the connection may be used once more


class Link:
    """One connection to a service."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str) -> None:
        self.reader, self.writer, self.host = reader, writer, host
        self.http = h11.Connection(h11.CLIENT)

    async def call(self, target: str) -> Answer:
        """One request and its whole answer."""
        request = h11.Request(method="GET", target=target, headers=[("Host", self.host)])
        self.writer.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))
        head, body = None, bytearray()
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(65_536))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_MOST:
                    raise Invalid("an answer is too long")
            elif isinstance(event, h11.EndOfMessage):
                again = self.http.their_state is h11.DONE and self.http.our_state is h11.DONE
                if again:
                    self.http.start_next_cycle()
                headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
                return Answer(head.status_code, headers, bytes(body), again)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the answer")


class Follow:
    """Keeps a ledger up to date by the word of whichever service answers.

    took: is given news that is newer, and returns once the ledger has it.
    """

    def __init__(
        self,
        services: list[Address],
        ledger: Ledger,
        took: Callable[[News], Awaitable[None]],
        draw: Callable[[], float] = random.random,
        wait: float = WAIT,
        answer_within: float = ANSWER_WITHIN,
    ) -> None:
        self.services, self.ledger, self.took, self.draw = services, ledger, took, draw
        self.wait, self.answer_within = wait, answer_within
        self.at = 0  # the service that is asked
        self.failures = 0  # without an answer between them
        self.said: dict[Address, str] = {}  # why each of them was left last
        self.counts: Counter[str] = Counter()
        self.doubted = False  # what is held does not fit to what a service told: the whole list
        self.word: float | None = None  # when a service last confirmed what is held, by the loop's clock
        self.word_age = 0.0  # seconds that its own word was old by then

    def age(self) -> float | None:
        """Seconds since what is held was known to hold; None before the first word."""
        if self.word is None:
            return None
        return asyncio.get_running_loop().time() - self.word + self.word_age

    def held_since(self, file: Path) -> None:
        """What is held comes from a file, which was written when it changed last."""
        self.word = asyncio.get_running_loop().time()
        self.word_age = max(0.0, time.time() - file.stat().st_mtime)

    async def run(self) -> None:
        """Watch until cancelled: a service that fails or knows less is left for the next one."""
        while True:
            where = self.services[self.at]
            try:
                await self._watch(where)
            except (OSError, TimeoutError, Invalid, h11.ProtocolError) as wrong:
                self.counts["failures"] += 1
                why = str(wrong) or type(wrong).__name__
                if self.said.get(where) != why:  # once, until it answers or fails in another way
                    log.warning("source_left", address=where, error=why)
                self.said[where] = why
            self.at = (self.at + 1) % len(self.services)
            span = min(BACK_OFF_MOST, BACK_OFF * 2 ** min(self.failures // len(self.services), 16))
            self.failures += 1
            await asyncio.sleep(span * (1 + self.draw()) / 2)

    async def _watch(self, where: Address) -> None:
        async with asyncio.timeout(CONNECT_WITHIN):
            reader, writer = await asyncio.open_connection(*where)
        try:
            link = Link(reader, writer, f"{where[0]}:{where[1]}")
            first = True
            while True:
                answer = await self._call(link, 0.0 if first else self.wait)
                if not await self._heard(answer):
                    return
                if first:
                    log.info("source_followed", address=where, seq=self.ledger.seq)
                    self.said.pop(where, None)
                first, self.failures = False, 0
                if not answer.again:
                    return
        finally:
            writer.transport.abort()

    async def _call(self, link: Link, wait: float) -> Answer:
        """The first call does not wait, so that a hung service is noticed before it is relied on."""
        target = PATH
        if self.ledger.seq and not self.doubted:
            target += f"?index={self.ledger.seq}&wait={int(wait * 1000)}"
        async with asyncio.timeout(wait + self.answer_within):
            return await link.call(target)

    async def _heard(self, answer: Answer) -> bool:
        """Take what an answer tells; False where this service knows less than what is held."""
        if answer.status != 200:
            raise Invalid(f"answered {answer.status}")
        news = parse_news(answer.body, digits(answer.headers.get(LIFE.lower(), ""), LIFE))
        held = (self.ledger.life, self.ledger.seq)
        if (news.life, news.seq) < held:
            self.counts["older"] += 1
            log.warning(
                "older_news_passed_by", life=news.life, seq=news.seq, held_life=held[0], held_seq=held[1]
            )
            return False
        if not news.whole and news.seq < self.ledger.seq:  # changes against a list that we don't hold
            self.doubted = True
            raise Invalid("changes that do not fit to the list held")
        if (news.life, news.seq) > held:
            await self.took(news)
            self.counts["taken"] += 1
        self.doubted = False
        self.word = asyncio.get_running_loop().time()
        age = answer.headers.get("age", "0")
        self.word_age = float(age) if age.isdigit() else 0.0
        return True
