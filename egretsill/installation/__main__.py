"""`python -m egretsill.installation REQUIREMENTS FOLDER`: install libraries into a folder.

Does nothing if the folder already holds them, whole and for this machine and Python.
"""

import sys
from pathlib import Path

from ._checks import check_imports
from ._exceptions import InstallationFailed
from ._installer import Installed, Installer, Kept
from ._pip import install_with_pip

match sys.argv[1:]:
    case [requirements, folder]:
        installer = Installer(Path(requirements), Path(folder), install_with_pip, check_imports)
        try:
            outcome = installer.run()
        except (InstallationFailed, OSError) as error:
            sys.exit(f"egretsill: libraries were not installed: {error}")
        match outcome:
            case Installed(reason):
                print(f"egretsill: libraries were installed in {folder}, as {reason}")
            case Kept(reason, problem):
                print(f"egretsill: libraries in {folder} are used as they are: {reason}; {problem}")
    case _:
        sys.exit("usage: python -m egretsill.installation REQUIREMENTS FOLDER")
