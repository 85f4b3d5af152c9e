#include "src/core/message/detail/MessageFields.h"

namespace foxtailbarrow {

FOXTAILBARROW_DEFINE_CODEC(Revoke);
FOXTAILBARROW_DEFINE_CODEC(RevokeReply);
FOXTAILBARROW_DEFINE_CODEC(JobChanged);
FOXTAILBARROW_DEFINE_CODEC(JobChangedReply);

} // namespace foxtailbarrow
