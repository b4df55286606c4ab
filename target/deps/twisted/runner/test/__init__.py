# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

"""
Test package for Twisted Runner.
"""
