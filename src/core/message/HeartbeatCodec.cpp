#include "src/core/message/detail/MessageFields.h"

namespace foxtailbarrow {

FOXTAILBARROW_DEFINE_CODEC(LoadReport);
FOXTAILBARROW_DEFINE_CODEC(TaskReport);
FOXTAILBARROW_DEFINE_CODEC(Heartbeat);
FOXTAILBARROW_DEFINE_CODEC(ShardLease);
FOXTAILBARROW_DEFINE_CODEC(HeartbeatReply);

} // namespace foxtailbarrow
