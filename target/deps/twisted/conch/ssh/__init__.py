# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

#

"""
An SSHv2 implementation for Twisted.  Part of the Twisted.Conch package.

Maintainer: Paul Swartz
"""
