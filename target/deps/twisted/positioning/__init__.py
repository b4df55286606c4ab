# -*- test-case-name: twisted.positioning.test -*-
# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.
"""
Twisted Positioning: Framework for applications that make use of positioning.

@since: 14.0
"""
