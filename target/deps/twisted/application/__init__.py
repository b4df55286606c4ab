# Copyright (c) Twisted Matrix Laboratories.
# See LICENSE for details.

"""
Configuration objects for Twisted Applications.
"""
