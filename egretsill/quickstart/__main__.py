"""`python -m egretsill.quickstart`: exit code 0 if every promise was kept, 1 if not."""

from __future__ import annotations

import sys

import trio

from ._run import run_quickstart


def main() -> int:
    """Run the scene, print its summary and the verdict as the last line."""
    verdict = trio.run(run_quickstart)
    print(verdict.to_json())
    return 0 if verdict.promises_kept else 1


if __name__ == "__main__":
    sys.exit(main())
