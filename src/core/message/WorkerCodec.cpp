#include "src/core/message/detail/WorkerFields.h"

namespace foxtailbarrow {

FOXTAILBARROW_DEFINE_CODEC(Endpoint);
FOXTAILBARROW_DEFINE_CODEC(Resources);
FOXTAILBARROW_DEFINE_CODEC(TaskKey);
FOXTAILBARROW_DEFINE_CODEC(TaskStart);
FOXTAILBARROW_DEFINE_CODEC(TaskStatus);
FOXTAILBARROW_DEFINE_CODEC(UsageSample);
FOXTAILBARROW_DEFINE_CODEC(WorkerView);

} // namespace foxtailbarrow
