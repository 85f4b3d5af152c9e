#include "src/core/message/detail/MessageFields.h"

namespace foxtailbarrow {

FOXTAILBARROW_DEFINE_CODEC(Assign);
FOXTAILBARROW_DEFINE_CODEC(AssignReply);
FOXTAILBARROW_DEFINE_CODEC(Control);
FOXTAILBARROW_DEFINE_CODEC(ControlReply);

} // namespace foxtailbarrow
