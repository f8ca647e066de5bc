"""Three of five entries are killed at once. An engine leaves without reporting `draining`: its entry
in the store is removed. An entry that was not killed must send it nothing more 2 s later."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import deployment as d  # noqa: E402

DRAIN_S = d.BOUNDS["drainMs"] / 1000
HOST, PREFIX = "voka93.example", "/filo73/"
PREFIX_OF_ENGINES = "servers/"
KILLED = 3
DOWN_S = 2.25       # for_s of herd_kill in sites/kcw-recell.toml
EXITS_AFTER_S = 2.4  # the engine serves for drainMs "and a little longer", then exits


async def send(deployment, entry, answers):
    attempt = d.new_attempt()
    sent = time.monotonic()
    try:
        status, headers, body = await d.call(entry.front, "POST", PREFIX + "job",
                                             d.client_headers(HOST, attempt), b"x" * 600)
        end = status
    except (ConnectionError, OSError) as error:
        end = repr(error)
    answers[attempt] = (entry, sent, end)
    deployment.record.add("answer", entry=entry.name, attempt=attempt, end=end)


async def case(deployment, trouble):
    deployment.set_config(7, [d.route("r-1", HOST, PREFIX, "non_idempotent", "ledger")], ["ledger"])
    await deployment.start_entries(["ekm-z1", "ekm-z1", "clt-z1", "clt-z1", "tvm-z1"])
    for zone in ("ekm-z1", "clt-z1", "tvm-z1"):
        await deployment.add_engine("ledger", zone, "i-" + zone, work_s=0.06)
    await deployment.wait_ready(deployment.entries)
    answers = {}
    for _ in range(2):
        await asyncio.gather(*(send(deployment, entry, answers) for entry in deployment.entries))
    if any(end != 200 for _, _, end in answers.values()):
        raise d.CannotRun("a request failed before the disruption")
    await asyncio.sleep(8)

    # Those that watch the engines' entries in the store on behalf of all.
    now = time.monotonic()
    watching = [entry for entry in deployment.entries
                if now - deployment.store.last_watch.get((entry.name, PREFIX_OF_ENGINES), 0) < 1.5]
    deployment.record.add("watching", entries=[entry.name for entry in watching])
    if len(watching) != KILLED:
        raise d.CannotRun(f"{len(watching)} entries watch the store")
    others = [entry for entry in deployment.entries if entry not in watching]
    leaver = await deployment.add_engine("ledger", others[0].zone, "i-leaver", work_s=0.3)
    await asyncio.sleep(3)

    if trouble:
        for entry in watching:
            entry.signal(signal.SIGKILL)
    await asyncio.sleep(0.1)
    leaver.unregister()
    leaver.leaving = True
    removed = time.monotonic()
    deployment.record.add("entry of the engine removed", engine=leaver.ident)
    clients = []
    restarted = False
    while time.monotonic() - removed < EXITS_AFTER_S + 1.5:
        past = time.monotonic() - removed
        if trouble and not restarted and past >= DOWN_S:
            restarted = True
            for entry in watching:
                entry.start()
        # No requests meanwhile: then nothing else tells an entry that the engine leaves.
        if past > DRAIN_S + 0.02:
            clients += [asyncio.ensure_future(send(deployment, entry, answers))
                        for entry in others for _ in range(3)]
        if past > EXITS_AFTER_S and leaver.server is not None:
            leaver.exit()
            leaver.server = None
        await asyncio.sleep(0.05)
    await asyncio.gather(*clients)

    findings = []
    late = [(at, attempt) for at, attempt in leaver.runs if at > removed + DRAIN_S]
    for at, attempt in late:
        entry, sent, end = answers[attempt]
        findings.append(f"DRAIN: {entry.name}, in touch, sent request {attempt} to the engine "
                        f"{at - removed:.2f} s after its entry was removed; answer: {end}")
    return findings


if __name__ == "__main__":
    sys.exit(d.run(case, HERE))
