#!/usr/bin/env python3
"""Sums the logs of many proxies: how attempts ended, by second and by host, and each change of mode.

usage: tools/fleet.py DIR [--by seconds] [--host NAME]

DIR holds one `.log` per proxy, written at SPARLUG_LOG=trace (logs at `info` contain only the changes of mode
and the closing counters of proxies that were ordered to stop). Tiers are told apart by the names of their hosts.
Lines of versions before December 2026, such as "forward ended", are counted too.
"""

import argparse
import collections
import pathlib
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\{[^}]*\}|\w+ \{[^}]*\}|Some\([^)]*\)|[^ ]+)')
STAMP = re.compile(r"(?:^| )\d{4}-\d\d-\d\dT(\d\d):(\d\d):([\d.]+)Z +(\w+) \S+: (.*)")


def lines(path):
    """Yields seconds of the day, level, text and fields of each line that the proxy wrote."""
    for line in path.read_text(errors="replace").splitlines():
        if found := STAMP.search(line):
            hours, minutes, seconds, level, text = found.groups()
            at = int(hours) * 3600 + int(minutes) * 60 + float(seconds)
            fields = {name: value.strip('"') for name, value in FIELD.findall(text)}
            yield at, level, text, fields


def ending(fields):
    text = fields.get("ending", "")
    if status := re.search(r"status: (\d+)", text):
        return status[1] + (" not started" if "not_started: true" in text else "")
    return re.sub(r"\W+", " ", text).strip()


def table(title, rows, most=None):
    """Rows are label -> Counter; the columns are all that any row counts, the most frequent first."""
    total = sum(rows.values(), collections.Counter())
    names = [name for name, _ in total.most_common(most)]
    wide = max([len(title)] + [len(str(label)) for label in rows])
    print(f"\n{title:{wide}} " + " ".join(f"{name:>{max(len(name), 5)}}" for name in names))
    for label in sorted(rows):
        cells = (f"{rows[label][name]:>{max(len(name), 5)}}" for name in names)
        print(f"{label!s:{wide}} " + " ".join(cells))
    print(f"{'all':{wide}} " + " ".join(f"{total[name]:>{max(len(name), 5)}}" for name in names))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("dir", type=pathlib.Path)
    parser.add_argument("--by", type=float, default=1.0, help="length of a row of the time table, in seconds")
    parser.add_argument("--host", help="print every line about this host, of all proxies, in order of time")
    wanted = parser.parse_args()
    logs = sorted(wanted.dir.glob("*.log"))
    if not logs:
        sys.exit(f"fleet.py: no .log in {wanted.dir}: expected a folder with one log per proxy")

    all_lines = sorted(
        ((at, path.stem, level, text, fields) for path in logs for at, level, text, fields in lines(path)),
        key=lambda line: line[0],
    )
    if not all_lines:
        sys.exit(f"fleet.py: no line of a proxy's log in {wanted.dir}")
    start = all_lines[0][0]
    if wanted.host:
        for at, proxy, _, text, fields in all_lines:
            if fields.get("host") == wanted.host:
                print(f"{at - start:8.3f} {proxy:5} {text}")
        return

    by_time = collections.defaultdict(collections.Counter)
    by_host = collections.defaultdict(collections.Counter)
    modes = collections.Counter()
    closing = collections.Counter()
    for at, _, _, text, fields in all_lines:
        row = f"{int((at - start) / wanted.by) * wanted.by:7.1f}"
        host = fields.get("host", "-")
        if text.startswith(("attempt served", "forward honoured")):
            what = "served"
        elif text.startswith(("attempt ended", "forward ended")):
            what = ending(fields)
        elif text.startswith(("attempt ", "forward ")):
            what = "attempts"
        elif text.startswith("check ended"):
            what = "checks"
        elif text.startswith(("connecting to backend", "dialled")):
            what = "connects"
        elif text.startswith(("responded without", "answered without")):
            what = "answer " + fields.get("status", "?")
        elif mode := re.search(r" (ejected, \w+|readmitted|out, \w+|back in)", text):
            what = mode[1]
        elif found := re.match(r"(ordinary|waiting|refusing|list of backends not available|list lost|discovery failed)", text):
            what = found[1]
        elif text.startswith(("stopped", "gone", "signal")):
            for name, value in FIELD.findall(text):
                closing[name] += int(value) if value.isdigit() and not text.startswith("signal") else 0
            continue
        else:
            continue
        by_time[row][what] += 1
        by_host[host][what] += 1
        modes[what] += 1
    print(f"{len(logs)} proxies, {all_lines[-1][0] - start:.1f} s")
    table("second", by_time)
    table("host", {host: count for host, count in by_host.items() if host != "-"})
    if closing:
        print("\nclosing counters: " + " ".join(f"{name}={value}" for name, value in closing.items() if value))


if __name__ == "__main__":
    main()
