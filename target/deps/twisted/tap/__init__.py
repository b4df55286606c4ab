# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

"""
Twisted TAP: Twisted Application Persistence builders for other Twisted servers.
"""
