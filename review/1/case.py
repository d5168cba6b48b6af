"""Clients send several requests with long bodies at once; the router's memory goes over its limit, and it is killed."""
import asyncio
import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from stand import ZONES, CannotRun, Host, Stand, start, trouble  # noqa: E402

CLASSES = [("set-threshold", "idempotent", 1.2, 4.0, 2.0), ("close-trip", "at_most_once", 2.0, 6.0, 3.0)]
ROUTERS = 3
HOSTS = 15
RATE = 17.0  # requests a second at each router
MEMORY_MB = int(os.environ.get("MEMORY_MB", "48"))  # "32 to 192 MB"
SOCKETS = int(os.environ.get("SOCKETS", "608"))  # "256 to 1,024 descriptors"
CLIENTS = int(os.environ.get("CLIENTS", "200"))  # bad clients at one router
REQUESTS = int(os.environ.get("REQUESTS", "4"))  # requests that each sends at once
BODY = 64 << 10  # "A body holds at most 64 KiB."
QUIET, TROUBLED, AFTER = 5.0, 15.0, 3.0


async def run(stand):
    for number in range(HOSTS):
        work = lambda: min(stand.random.expovariate(1 / 0.15), 1.0)
        await Host(stand, "s-%08x" % stand.random.getrandbits(32), ZONES[number % 3], 726, work).start()
    await stand.start_routers(ROUTERS, {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, CLASSES, 64.0)
    tasks = []
    killed = {}

    async def clients(router, until):
        while stand.record.now() < until:
            await asyncio.sleep(stand.random.expovariate(RATE))
            kind, effect, _, deadline, _ = stand.random.choices(CLASSES, [0.58, 0.42])[0]
            wait = deadline * stand.random.uniform(0.4, 1.0)
            key = "k%d" % stand.random.randrange(210)
            tasks.append(asyncio.ensure_future(stand.ask(router, kind, effect, key, wait, body=b"y" * 200)))

    async def platform(router, until):
        """Kills a router that holds more memory than its limit, as the platform does."""
        while stand.record.now() < until and router not in killed:
            resident, highest = router.memory_kb()
            if resident > MEMORY_MB << 10:
                router.process.kill()
                killed[router] = resident
                stand.record.line("killed %s: %d kB of memory, limit %d kB" % (router.name, resident, MEMORY_MB << 10))
            router.highest = highest
            await asyncio.sleep(0.02)

    until = stand.record.now() + QUIET + TROUBLED + AFTER
    loads = [asyncio.ensure_future(clients(router, until)) for router in stand.routers]
    watches = [asyncio.ensure_future(platform(router, until)) for router in stand.routers]
    await asyncio.sleep(QUIET)
    if trouble():
        first = stand.routers[0]
        flood = [sys.executable, os.path.join(os.path.dirname(HERE), "lib", "pipeline.py"), first.listen[0],
                 str(first.listen[1]), str(CLIENTS), str(REQUESTS), str(BODY), str(TROUBLED)]
        stand.record.line("begin  %d clients, each %d requests at once, at %s" % (CLIENTS, REQUESTS, first.name))
        stand.others.append(subprocess.Popen(flood, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL))
    await asyncio.gather(*loads)
    await asyncio.gather(*watches)
    requests = await asyncio.gather(*tasks)
    for router in stand.routers:
        if router.process.poll() is not None and router not in killed:
            raise CannotRun("router %s has ended" % router.name)
        own = [r for r in requests if r.router is router]
        text = "router %s: at most %.1f MB of %d MB%s; %d requests of usual clients, %d served, %d cut off" % (
            router.name, router.highest / 1024, MEMORY_MB, ", KILLED for memory" if router in killed else "",
            len(own), sum(r.status == "200" for r in own), sum(r.closed for r in own))
        stand.record.line(text)
        print(text)
    return 1 if killed else 0


async def main():
    stand = Stand(HERE, int(os.environ.get("SEED", "1")))
    try:
        return await asyncio.wait_for(run(stand), 110)
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print("case could not run: %s" % error)
        return 2
    finally:
        await stand.close()


start(main())
