# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

"""
Versions for Python packages.

See L{incremental}.
"""


from incremental import IncomparableVersions, Version, getVersionString

__all__ = ["Version", "getVersionString", "IncomparableVersions"]
