# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

"""
Twisted Names: DNS server and client implementations.
"""
