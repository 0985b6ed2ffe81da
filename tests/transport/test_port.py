"""Tests of a listening port."""

from __future__ import annotations

import asyncio
import socket

import aiohttp
from aiohttp import web

from flamingoladder.transport.port import Port

LOOPBACK = "127.0.0.1"
FIELD_BYTES = 8_192


async def answer(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(text="here")


def port_of_handler() -> Port:
    return Port.of_handler(answer, FIELD_BYTES, 0.1)


async def fetched(session: aiohttp.ClientSession, number: int) -> str:
    async with session.get(f"http://{LOOPBACK}:{number}/") as response:
        return await response.text()


async def test_a_port_of_0_is_chosen_and_serves() -> None:
    port = port_of_handler()
    number = await port.open(LOOPBACK, 0)
    async with aiohttp.ClientSession() as session:
        assert await fetched(session, number) == "here"
    await port.close()


async def test_open_connections_stay_when_no_new_ones_are_taken() -> None:
    port = port_of_handler()
    number = await port.open(LOOPBACK, 0)
    async with aiohttp.ClientSession() as session:
        assert await fetched(session, number) == "here"
        await port.stop_listening()
        assert await fetched(session, number) == "here"
    await port.close()


async def test_a_port_that_is_still_in_use_is_tried_again() -> None:
    port = port_of_handler()
    taken = socket.create_server((LOOPBACK, 0))
    opening = asyncio.create_task(port.open(LOOPBACK, taken.getsockname()[1]))
    await asyncio.sleep(0)
    assert not opening.done()
    taken.close()
    assert await opening > 0
    await port.close()


async def test_an_application_serves_its_routes() -> None:
    application = web.Application()
    application.router.add_get("/", answer)
    port = Port.of_application(application, FIELD_BYTES, 100, 0.1)
    number = await port.open(LOOPBACK, 0)
    async with aiohttp.ClientSession() as session:
        assert await fetched(session, number) == "here"
    await port.close()
