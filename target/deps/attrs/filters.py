# SPDX-License-Identifier: MIT

from attr.filters import *  # noqa: F403
