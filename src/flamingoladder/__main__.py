"""Entry point of ``python -m flamingoladder``."""

from __future__ import annotations

from flamingoladder.console.application import main

if __name__ == "__main__":
    main()
