# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

"""
Distributed trial test runner tests.
"""
