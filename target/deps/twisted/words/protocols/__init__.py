# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

"""
Chat protocols.
"""
