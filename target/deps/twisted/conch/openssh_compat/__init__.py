# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

#

"""
Support for OpenSSH configuration files.

Maintainer: Paul Swartz
"""
