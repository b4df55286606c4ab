# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

"""
Twisted Mail: Servers and clients for POP3, ESMTP, and IMAP.
"""
