#!/usr/bin/env python3
"""Turns OUT.jsonl of tools/bench.sh into OUT.md and SVG plots (through gnuplot)."""
import json
import os
import subprocess
import sys

# Only values of these types get a row in the tables; series and objects do not.
PLAIN = (int, float, str, bool, type(None))


def read_runs(path):
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines]


def machine():
    with open("/proc/meminfo", encoding="utf-8") as info:
        kilobytes = int(info.readline().split()[1])
    revision = subprocess.run(
        ["git", "describe", "--always", "--dirty"], capture_output=True, text=True, check=False
    ).stdout.strip()
    return f"{os.cpu_count()} cores, {kilobytes / 2**20:.0f} GiB memory, revision {revision}"


def cell(value):
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def table(runs):
    """One Markdown table: a row for each measured value, a column for each run."""
    keys = []
    for run in runs:
        for key, value in (run["result"] or {}).items():
            if key not in keys and isinstance(value, PLAIN):
                keys.append(key)
    lines = ["| | " + " | ".join(str(i + 1) for i in range(len(runs))) + " |"]
    lines.append("|---" * (len(runs) + 1) + "|")
    for key in keys:
        values = [cell((run["result"] or {}).get(key)) for run in runs]
        lines.append(f"| {key} | " + " | ".join(values) + " |")
    return lines


def write_markdown(out, runs):
    lines = [f"# Measurements of {os.path.basename(out)}", "", f"Machine: {machine()}.", ""]
    lines += ["Written by `make bench`; all processes on loopback of one machine.", ""]
    for experiment in dict.fromkeys(run["command"].split()[0] for run in runs):
        group = [run for run in runs if run["command"].split()[0] == experiment]
        lines += [f"## {experiment}", ""]
        for i, run in enumerate(group):
            failed = " (failed)" if run["result"] is None else ""
            lines.append(f"{i + 1}. `savoryrouter-experiment {run['command']}`{failed}")
        lines += ["", *table(group), ""]
    with open(out + ".md", "w", encoding="utf-8") as page:
        page.write("\n".join(lines))


def gnuplot(script):
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


def plot_replicas(out, runs):
    """Complete replicas over time, one line for each strategy; only runs without faults."""
    series = {}
    for run in runs:
        result = run["result"] or {}
        if result.get("fault") != "none" or not result.get("replicas"):
            continue
        name = f"{result['strategy']}, {result['favour']}"
        series[name] = [(point["seconds"], point["whole"]) for point in result["replicas"]]
    if not series:
        return
    script = f"set terminal svg size 800,500 dynamic\nset output '{out}-replicas.svg'\n"
    script += "set xlabel 'seconds'\nset ylabel 'replicas'\nset key bottom right\nset grid\n"
    for i, points in enumerate(series.values()):
        script += f"$d{i} << EOD\n" + "\n".join(f"{x} {y}" for x, y in points) + "\nEOD\n"
    names = [f"$d{i} using 1:2 with steps lw 2 title '{n}'" for i, n in enumerate(series)]
    gnuplot(script + "plot " + ", ".join(names).replace("_", "\\\\_") + "\n")


def plot_accounts(out, runs):
    """Latency of answered requests by client account and fault."""
    rows = []
    for run in runs:
        result = run["result"] or {}
        for account, values in (result.get("accounts") or {}).items():
            rows.append((f"{result['fault']}: {account}", values))
    if not rows:
        return
    script = f"set terminal svg size 900,600 dynamic\nset output '{out}-latency.svg'\n"
    script += "set ylabel 'ms'\nset logscale y\nset style data histograms\nset grid y\n"
    script += "set style fill solid 0.7\nset xtics rotate by -45\nset key top left\n$d << EOD\n"
    for name, values in rows:
        script += f'"{name}" {values["ms_p50"]} {values["ms_p95"]} {values["ms_p99"]}\n'
    script += "EOD\nplot $d using 2:xtic(1) title 'median', $d using 3 title '95%', "
    gnuplot(script + "$d using 4 title '99%'\n")


def main():
    out = sys.argv[1]
    runs = read_runs(out + ".jsonl")
    write_markdown(out, runs)
    plot_replicas(out, runs)
    plot_accounts(out, runs)


if __name__ == "__main__":
    main()
