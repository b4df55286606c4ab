# SPDX-License-Identifier: MIT

from attr.converters import *  # noqa: F403
