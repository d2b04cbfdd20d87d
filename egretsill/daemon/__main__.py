"""Entry point of `python -m egretsill.daemon`."""

from ._main import run

if __name__ == "__main__":
    run()
