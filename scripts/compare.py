"""Prints the ratios of two runs of limpetlever-bench. Called by scripts/bench --compare."""
import json
import sys


def read_measures(path):
    """Parses the text output of a run (name, baseline, result, bound); returns results by name."""
    results = {}
    with open(path, encoding="utf-8") as file:
        for line in file:
            words = line.split()
            if len(words) > 4 and words[-1] in ("PASS", "FAIL") and words[3] in ("<=", ">="):
                results[words[0]] = float(words[2])
    return results


def read_times(path):
    """Returns the processor time in nanoseconds by name, the smallest of the repetitions."""
    units = {"ns": 1.0, "us": 1e3, "ms": 1e6, "s": 1e9}
    results = {}
    with open(path, encoding="utf-8") as file:
        runs = json.load(file)["benchmarks"]
    for run in runs:
        if run.get("run_type") != "aggregate" and "cpu_time" in run:
            time = run["cpu_time"] * units[run["time_unit"]]
            results[run["name"]] = min(results.get(run["name"], time), time)
    return results


def print_ratios(title, before, after):
    print(f"\n{title:<48} {'before':>14} {'after':>14} {'ratio':>8}")
    for name, value in after.items():
        if name not in before:
            print(f"{name:<48} {'':>14} {value:>14.4g} {'new':>8}")
        else:
            old = before[name]
            ratio = f"{value / old:.3f}" if old != 0 else ("1.000" if value == 0 else "inf")
            print(f"{name:<48} {old:>14.4g} {value:>14.4g} {ratio:>8}")
    for name in before:
        if name not in after:
            print(f"{name:<48} {before[name]:>14.4g} {'':>14} {'removed':>8}")


def main():
    revision, commit, folder = sys.argv[1:]
    print(f"before: {revision}, after: {commit}")
    print_ratios("measure", read_measures(f"{folder}/before.txt"), read_measures(f"{folder}/after.txt"))
    print_ratios("processor time, ns, smallest of 5", read_times(f"{folder}/before.json"),
                 read_times(f"{folder}/after.json"))


if __name__ == "__main__":
    main()
