#include "rhubarbarch/wire/consensus_messages.h"

#include "rhubarbarch/wire/define_fields.h"

namespace rhubarbarch {

RHUBARBARCH_DEFINE_FIELDS(Member, replica, instance, voter)
RHUBARBARCH_DEFINE_FIELDS(LogEntry, term, index, kind, data)
RHUBARBARCH_DEFINE_FIELDS(VoteRequest, from, to, term, preVote, transfer, lastIndex, lastTerm, group)
RHUBARBARCH_DEFINE_FIELDS(VoteReply, from, to, term, preVote, granted)
RHUBARBARCH_DEFINE_FIELDS(AppendRequest,
                          from,
                          to,
                          term,
                          previousIndex,
                          previousTerm,
                          commitIndex,
                          round,
                          group,
                          entries)
RHUBARBARCH_DEFINE_FIELDS(AppendReply, from, to, term, success, matchIndex, round)
RHUBARBARCH_DEFINE_FIELDS(SnapshotChunk, from, to, term, lastIndex, lastTerm, members, group, offset, last, data)
RHUBARBARCH_DEFINE_FIELDS(SnapshotReply, from, to, term, lastIndex, nextOffset, installed)
RHUBARBARCH_DEFINE_FIELDS(TimeoutNow, from, to, term)
RHUBARBARCH_DEFINE_FIELDS(JoinRequest, replica, instance, founding, answers, grouped)

} // namespace rhubarbarch
