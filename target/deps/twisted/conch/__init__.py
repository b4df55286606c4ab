# -*- test-case-name: twisted.conch.test -*-
# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

"""
Twisted Conch: The Twisted Shell. Terminal emulation, SSHv2 and telnet.
"""
