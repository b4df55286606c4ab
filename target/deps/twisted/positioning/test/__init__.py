# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.
"""
Tests for the Twisted positioning framework.
"""
