"""Clients that send several requests at once on a connection, each with a body of SIZE bytes.

No request's id is that of a usual client, so hosts turn them away. A client whose connection is closed sends the same
again on a new one.

usage: pipeline.py ADDRESS PORT CLIENTS REQUESTS SIZE SECONDS
"""
import asyncio
import sys

address, port, clients, requests, size, seconds = (
    sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), int(sys.argv[5]), float(sys.argv[6]))
BODY = b"x" * size


def request(client, number):
    return (b"POST /close-trip/k%d HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: bad-%d-%d\r\nRequest-Class: close-trip\r\n"
            b"Tenant: doto-dairy\r\nRequest-Timeout: 4000m\r\nContent-Length: %d\r\n\r\n" % (
                client, client, number, len(BODY))) + BODY


async def bad(client):
    while True:
        try:
            reader, writer = await asyncio.open_connection(address, port)
            for number in range(requests):
                writer.write(request(client, number))
            while await reader.read(1 << 16):
                pass
            writer.close()
        except OSError:
            await asyncio.sleep(0.05)


async def main():
    tasks = [asyncio.ensure_future(bad(client)) for client in range(clients)]
    await asyncio.wait(tasks, timeout=seconds)


try:
    asyncio.run(main())
except KeyboardInterrupt:
    pass
