# SPDX-License-Identifier: MIT

from attr.setters import *  # noqa: F403
