#!/usr/bin/env python3
"""Plays the paired days of a site, and compares two sets of figures.

    deploy/days/paired.py play BENCH SITE OUT [--jobs N] [--seeds N] [--mixes N] [--days DAY.toml,...]
    deploy/days/paired.py compare BEFORE AFTER
    deploy/days/paired.py binds OUT [--open SHARE]

The paired days are each standard day with trouble on its own seed and more, one calm day, and mixes; the same seeds
each time; with --days, just these days on so many seeds. Processor time is not counted, so that a run repeats. OUT
gets one line of JSON a run.

binds lists the runs, the worst first, with what was not served and a bound: the worth of the day if every request that
a decision lost were served in time, and generations were open for only SHARE of the time that they are (an engine that
reads nothing beside), so that as many fewer are cut where boxes die. What targets fail by themselves, what is sent
while no box is there, and prices stay as they are.
"""
import json
import math
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FIRST_SEED = 7001
KEPT = ["G", "parts", "prices", "classes", "unserved_by", "ends", "breaks", "fault", "windows", "load"]


def days_of(site, seeds, mixes):
    """The runs to play: (day, seed); the seed None is the day's own."""
    with open(site, "rb") as file:
        names = [day["name"] for day in tomllib.load(file)["day"]]
    calm = [name for name in names if name.startswith("quiet")]
    runs = [(name, None) for name in names]
    runs += [(name, FIRST_SEED + at) for name in names if name not in calm for at in range(seeds - 1)]
    return runs + [("mix", FIRST_SEED + at) for at in range(mixes)]


def play(bench, site, day, seed):
    """One run; its figures, or what the bench said where there are none."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [bench, "run", site, day, "--no-cpu", "--report", str(report)]
        if seed is not None:
            command += ["--seed", str(seed)]
        done = subprocess.run(command, capture_output=True, text=True)
        if not report.exists():
            return {"day": day, "seed": seed, "error": (done.stdout + done.stderr)[-400:]}
        figures = json.loads(report.read_text())
    return {"day": day, "seed": seed} | {key: figures.get(key) for key in KEPT}


def own_days(args, seeds):
    """The runs of days of our own."""
    days = args[args.index("--days") + 1].split(",")
    return [(day, FIRST_SEED + at) for day in days for at in range(seeds)]


def option(args, name, default):
    return int(args[args.index(name) + 1]) if name in args else default


def read(path):
    runs = [json.loads(line) for line in Path(path).read_text().splitlines()]
    return {(run["day"], run["seed"]): run for run in runs}


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else float("nan")


def spread(values):
    """Standard error of a mean."""
    values = list(values)
    if len(values) < 2:
        return float("nan")
    middle = mean(values)
    return (sum((v - middle) ** 2 for v in values) / (len(values) - 1) / len(values)) ** 0.5


def groups(keys):
    """The runs by kind of day."""
    found = {}
    for day, seed in keys:
        kind = "calm" if day.startswith("quiet") else "mix" if day == "mix" else "trouble"
        found.setdefault(kind, []).append((day, seed))
    return found


def compare(before, after):
    before, after = read(before), read(after)
    pairs = [key for key in before if key in after and "G" in before[key] and "G" in after[key]]
    for kind, keys in groups(pairs).items():
        change = [after[key]["G"] - before[key]["G"] for key in keys]
        print(f"{kind:8} {len(keys):3} pairs  before {mean(before[k]['G'] for k in keys):.4f}"
              f"  after {mean(after[k]['G'] for k in keys):.4f}  change {mean(change):+.4f}"
              f" (standard error {spread(change):.4f})  better {sum(c > 0 for c in change)}")
        for at, (part, _, _) in enumerate(before[keys[0]]["parts"]):
            values = [after[k]["parts"][at][2] - before[k]["parts"][at][2] for k in keys]
            print(f"           {part:14} {mean(values):+.4f}")
    for name, runs in (("before", before), ("after", after)):
        broken = [(key, run.get("breaks") or run.get("fault") or run.get("error")) for key, run in runs.items()
                  if run.get("breaks") or run.get("fault") or run.get("error")]
        print(f"{name}: rules broken or not played: {broken or 'none'}")


DECIDED = ("503", "502", "504", "cut, no answer")


def bound(run, share):
    """The worth of a run if all that can be decided were decided ideally."""
    lost = {why: count for why, count, *_ in run["unserved_by"]}
    every = sum(kind["n"] - kind["not_owed"] for kind in run["classes"])
    streams = sum(kind["failed"] for kind in run["classes"] if kind["p50_ms"] and kind["p50_ms"] > 200)
    cut = min(streams, lost.get("cut in the answer", 0) + lost.get("deadline", 0))
    decided = sum(lost.get(why, 0) for why in DECIDED)
    stays = sum(lost.values()) - decided - cut * (1 - share)
    of_streams = share * cut / max(cut + decided, 1)
    worth = 0.0
    for name, weight, value in run["parts"]:
        if name == "nines":
            worth += weight * min(1.0, math.log10(max(stays, 0.5) / every) / -3)
        elif name == "worst class" and value > 0.88:
            worth += weight * value
        else:
            worth += weight * (1 - (1 - value) * of_streams)
    return worth - sum(value for _, _, value in run["prices"])


def binds(path, share):
    for key, run in sorted(read(path).items(), key=lambda item: item[1].get("G", -1)):
        if "G" not in run:
            print(key, run.get("error"))
            continue
        lost = ", ".join(f"{why} {count}" for why, count, *_ in run["unserved_by"])
        parts = ", ".join(f"{name} {value:.3f}" for name, _, value in run["parts"])
        prices = ", ".join(f"{name} {value:.3f}" for name, _, value in run["prices"] if value > 0.002)
        print(f"{run['G']:.3f} (bound {bound(run, share):.3f}) {key[0]} {key[1]}: {parts}; prices {prices}; not served: {lost}")


def main(args):
    if len(args) >= 4 and args[0] == "play":
        bench, site, out = args[1:4]
        seeds = option(args, "--seeds", 5)
        own = "--days" in args
        runs = own_days(args, seeds) if own else days_of(site, seeds, option(args, "--mixes", 12))
        with ThreadPoolExecutor(option(args, "--jobs", 7)) as pool, open(out, "w") as file:
            for figures in pool.map(lambda run: play(bench, site, *run), runs):
                file.write(json.dumps(figures) + "\n")
        for kind, keys in groups(read(out)).items():
            figures = [read(out)[key].get("G") for key in keys]
            print(f"{kind:8} {len(keys):3} runs, mean worth {mean(f for f in figures if f is not None):.4f}")
    elif len(args) == 3 and args[0] == "compare":
        compare(args[1], args[2])
    elif len(args) >= 2 and args[0] == "binds":
        binds(args[1], float(args[args.index("--open") + 1]) if "--open" in args else 1.0)
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main(sys.argv[1:])
