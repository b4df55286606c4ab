# -*- test-case-name: twisted.python.test.test_url -*-
# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

"""
URL parsing, construction and rendering.

@see: L{URL}
"""

from hyperlink import URL

__all__ = [
    "URL",
]
