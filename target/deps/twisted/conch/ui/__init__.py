# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

#


"""
twisted.conch.ui is home to the UI elements for tkconch.

Maintainer: Paul Swartz
"""
