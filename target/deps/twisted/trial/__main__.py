# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

if __name__ == "__main__":
    import sys

    from twisted.scripts.trial import run

    sys.exit(run())
