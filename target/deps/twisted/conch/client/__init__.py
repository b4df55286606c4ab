# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

#
"""
Client support code for Conch.

Maintainer: Paul Swartz
"""
