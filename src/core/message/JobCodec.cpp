#include "src/core/message/detail/JobFields.h"

namespace foxtailbarrow {

FOXTAILBARROW_DEFINE_CODEC(JobSpec);
FOXTAILBARROW_DEFINE_CODEC(JobRecord);

} // namespace foxtailbarrow
