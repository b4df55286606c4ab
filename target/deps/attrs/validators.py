# SPDX-License-Identifier: MIT

from attr.validators import *  # noqa: F403
