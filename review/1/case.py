"""All machines lose power at the same moment and start again 1.5 s later; no version of the weights
was ever named to the store, as the engines held version 1 from the start. From recoveryS later on, a
quarter of the requests or more must be served."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import deployment as d  # noqa: E402

HOST, PREFIX = "jepu9.example", "/lepu270/"
SERVICE, ENGINES = "huvo11a", 3
BEFORE_S = 4.0
DOWN_S = 1.5           # down_s of a power_off_all in sites/kcw-recell.toml
SPREAD_S = 0.3         # "All machines start within 0.3 s of each other, in any order"
HEARTBEAT_S = 1.2      # an engine's entry goes after three of these
JUDGED_S = 4.0
PERIOD_S = 0.1
ENGINE = {"slots": 16, "kvTokens": 685000, "kvBytes": 327680, "linkMbps": 400000.0, "stride": 6,
          "models": [{"name": d.MODEL, "pace": 1.0, "loadS": 4.0, "warmS": d.WARM_S}],
          "sizeMb": 297000.0, "step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203,
          "read_per_s": 31900.0, "pairs_per_m": 0.733, "chunk": 2048, "report_lag_ms": 200.0,
          "usual": {"prompt": 972, "answer": 106}, "layers": d.LAYERS, "layer_mb": 4540.0,
          "chunks": d.PIECES, "chunkBytes": d.PIECE_BYTES}


async def send(deployment, entry, ends):
    attempt = d.new_attempt()
    sent = time.monotonic()
    headers = d.client_headers(HOST, attempt, 6000) + [
        ("Model-Id", d.MODEL), ("Token-Count", "400,40"), ("Prompt-Prefix", "5c1e07a2:40,e4402b7d:360")]
    try:
        end, _, body = await d.call(entry.front, "POST", PREFIX + "x", headers, b"x" * 200)
        why = body.decode().strip() if end != 200 else ""
    except (ConnectionError, OSError) as error:
        end, why = "no answer", repr(error)
    ends.append((sent, end))
    deployment.record.add("answer", entry=entry.name, attempt=attempt, end=end, why=why)


async def traffic(deployment, seconds, ends):
    clients = []
    stop = time.monotonic() + seconds
    while time.monotonic() < stop:
        clients += [asyncio.ensure_future(send(deployment, entry, ends))
                    for entry in deployment.entries]
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*clients)


def part_served(ends, since, until):
    counted = [end for sent, end in ends if since <= sent < until]
    return sum(end == 200 for end in counted) / max(1, len(counted)), len(counted)


def make_engine(deployment, i, boot):
    ip = f"{deployment.subnet}.{31 + i}"
    zone = list(d.ZONES)[i % len(d.ZONES)]
    return d.ModelEngine(deployment.record, deployment.store, SERVICE, zone,
                         f"{ip}:{deployment.ports['engine']}", f"i-{boot}{i}", work_s=0.1, slots=16)


async def case(deployment, trouble):
    origin = d.Origin(deployment.record, f"{deployment.subnet}.4:{deployment.ports['engine']}")
    await origin.start()
    services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 434, "protocol": "h1",
                 "tls": False, "engine": ENGINE},
                {"name": "kafi81c", "origin": origin.address, "zone": "tvm-z1", "linkMbps": 15.0,
                 "maxConnections": 48}]
    routes = [d.route("r-1", HOST, PREFIX, "streaming", SERVICE, timeoutMs=6000,
                      targetLatencyMs=400, priority=1, maxAttempts=2, sessionAffinity=True,
                      streamResume=True, gapTargetMs=300)]
    deployment.set_config(7, routes, services)
    if os.environ.get("NAMED"):  # to show that the stand-ins can be brought back
        deployment.store.put("op/version/" + d.MODEL, b'{"model":"%s","version":1}'
                             % d.MODEL.encode())
    engines = [make_engine(deployment, i, "a") for i in range(ENGINES)]
    for engine in engines:
        engine.hold(1)
        await engine.start()
    await deployment.start_entries(["ekm-z1", "clt-z1"])
    seeds = [f"{e.ip}:{deployment.ports['front'] + 5}" for e in deployment.entries]
    for i, engine in enumerate(engines):
        name, ip = f"side-{engine.zone}-{i}", engine.address.split(":")[0]
        deployment.agents.append(d.Agent(name, engine.zone, ip, deployment.ports, "127.0.0.1:1",
                                         seeds, engine.address, deployment.folder,
                                         deployment.record))
    for agent in deployment.agents:
        agent.start()
    await deployment.wait_ready(deployment.entries)
    await asyncio.sleep(3)
    ends = []
    began = time.monotonic()
    await traffic(deployment, BEFORE_S, ends)
    before, _ = part_served(ends, began, time.monotonic())

    if trouble:
        deployment.record.add("all machines lose power")
        for process in deployment.entries + deployment.agents:
            process.signal(signal.SIGKILL)
        for engine in engines:
            engine.exit()
        lost = time.monotonic()
        await asyncio.sleep(DOWN_S)
        booted = [make_engine(deployment, i, "b") for i in range(ENGINES)]
        for engine in booted:
            await engine.start()
        for agent in deployment.agents:
            agent.start()
        await asyncio.sleep(SPREAD_S)
        for entry in deployment.entries:
            entry.start()
        await asyncio.sleep(max(0, lost + 3 * HEARTBEAT_S - time.monotonic()))
        for engine in engines:
            engine.unregister()
    await deployment.wait_ready(deployment.entries)
    back = time.monotonic()
    deployment.record.add("machines are back")
    await traffic(deployment, d.BOUNDS["recoveryS"] + JUDGED_S, ends)

    after, judged = part_served(ends, back + d.BOUNDS["recoveryS"], time.monotonic())
    deployment.record.add("served", before=before, after=after, judged=judged)
    print(f"served {before:.2f} before, {after:.2f} of {judged} from recoveryS on")
    if before < 0.25:
        raise d.CannotRun("too little was served before the final fault")
    if after < 0.25:
        return [f"RECOVER: {after:.2f} of {judged} requests are served from recoveryS after the "
                f"machines are back on; {before:.2f} before the final fault"]
    return []


if __name__ == "__main__":
    sys.exit(d.run(case, HERE))
