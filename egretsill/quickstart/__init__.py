"""End-to-end run in one process: two users' sites, their callers, a failure and a drain."""

from ._run import load_plan, run_quickstart
from ._site_files import write_site_files
from ._site_plan import SitePlan

__all__ = ["SitePlan", "load_plan", "run_quickstart", "write_site_files"]
