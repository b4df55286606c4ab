"""Durations of the replicated log."""

from __future__ import annotations

import datetime

# A member that heard from a leader within ELECTION_MIN gives no vote.
ELECTION_MIN = datetime.timedelta(milliseconds=800)
ELECTION_MAX = datetime.timedelta(milliseconds=1600)
HEARTBEAT = datetime.timedelta(milliseconds=200)
RESEND_AFTER = datetime.timedelta(milliseconds=500)

# Clocks of two members run apart by at most this part of elapsed time.
MAX_DRIFT = 0.01
LEASE = ELECTION_MIN * (1 - 2 * MAX_DRIFT)

# A leader without a quorum's answers for this long steps down.
QUORUM_TIMEOUT = ELECTION_MAX
HANDOVER_TIMEOUT = ELECTION_MIN
PROPOSAL_TIMEOUT = datetime.timedelta(seconds=4)

JOIN_INTERVAL = datetime.timedelta(milliseconds=500)
JOINER_TIMEOUT = datetime.timedelta(seconds=2)
# A member must be silent for this long before another host takes its seat.
REPLACE_AFTER = datetime.timedelta(seconds=3)
