# -*- test-case-name: klein.test -*-
# Copyright (c) 2011-2021. See LICENSE for details.

"""
Tests for L{klein}.
"""
