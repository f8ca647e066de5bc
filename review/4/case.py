"""Another writer leaves an entry that can't be read among the engines' entries in the store. It names
no engine to use; the entries must go on with the others, and their processes must not end."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import deployment as d  # noqa: E402

HOST, PREFIX = "voka93.example", "/filo73/"
RESTART_S = 0.5    # the platform starts a process that ended again
WATCHED_S = 6.0
PERIOD_S = 0.1
WORK_S = 0.3


async def send(deployment, entry, answers):
    attempt = d.new_attempt()
    try:
        end, _, _ = await d.call(entry.front, "POST", PREFIX + "job",
                                 d.client_headers(HOST, attempt), b"x" * 600)
    except (ConnectionError, OSError) as error:
        end = repr(error)
    answers[attempt] = end
    deployment.record.add("answer", entry=entry.name, attempt=attempt, end=end)


async def keep_running(deployment, ends):
    """What the platform does: starts a process that ended again."""
    while True:
        for entry in deployment.entries:
            code = entry.process.poll()
            if code is not None:
                ends.append((entry.name, code))
                deployment.record.add("process ended by itself", entry=entry.name, code=code)
                await asyncio.sleep(RESTART_S)
                entry.start()
        await asyncio.sleep(0.02)


async def case(deployment, trouble):
    deployment.set_config(7, [d.route("r-1", HOST, PREFIX, "non_idempotent", "ledger")], ["ledger"])
    await deployment.start_entries(["ekm-z1", "clt-z1"])
    engine = await deployment.add_engine("ledger", "ekm-z1", "i-1", work_s=WORK_S, slots=8)
    await deployment.wait_ready(deployment.entries)
    ends, answers = [], {}
    platform = asyncio.ensure_future(keep_running(deployment, ends))
    clients = []
    begin = time.monotonic()
    written = False
    while time.monotonic() - begin < WATCHED_S:
        if trouble and not written and time.monotonic() - begin > 1:
            written = True
            entry = {"service": "ledger", "address": "127.0.0.9\0\0:80", "zone": "ekm-z1",
                     "slots": 4, "state": "ready", "seqNum": 1, "models": []}
            deployment.store.put("servers/i-other", json.dumps(entry).encode())
            deployment.record.add("entry of another writer", value=json.dumps(entry))
        clients += [asyncio.ensure_future(send(deployment, entry, answers))
                    for entry in deployment.entries]
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*clients)
    platform.cancel()

    ran = {attempt for _, attempt in engine.runs}
    lost = [a for a, end in answers.items() if not isinstance(end, int) and a in ran]
    deployment.record.add("requests", sent=len(answers), ran_and_lost=len(lost))
    findings = []
    for entry in deployment.entries:
        codes = [code for name, code in ends if name == entry.name]
        if len(codes) >= 3:
            findings.append(f"Fault: the process of {entry.name} ended by itself {len(codes)} times "
                            f"in {WATCHED_S:.0f} s, with {sorted(set(codes))}")
    if findings:
        findings.append(f"{len(lost)} requests that an engine had begun to run were lost with them")
    return findings


if __name__ == "__main__":
    sys.exit(d.run(case, HERE))
