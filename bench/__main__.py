"""Runs every bench module that has figures(); one JSON line per figure.

If module names are given as arguments, only those modules run.  The exit
status is 1 if a figure exceeds its bound.
"""

import importlib
import pkgutil
import sys

import bench
from bench import figure


def main(names: list[str]) -> int:
    """Runs the named modules, or all, and returns the exit status."""
    bound_exceeded = False
    module_names = sorted(
        info.name for info in pkgutil.iter_modules(bench.__path__)
    )
    for name in module_names:
        if name == '__main__' or names and name not in names:
            continue
        module = importlib.import_module(f'bench.{name}')
        if not hasattr(module, 'figures'):
            continue
        for each in module.figures():
            print(figure.line_of(each), flush=True)
            bound_exceeded = bound_exceeded or not each.ok
    return 1 if bound_exceeded else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
