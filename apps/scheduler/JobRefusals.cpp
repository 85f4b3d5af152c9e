#include "apps/scheduler/JobRefusals.h"

#include <string>

namespace foxtailbarrow::scheduler {

using cell::JobRefused;
using cell::RefusalCause;

JobRefused StoreAway(const absl::Status& aStatus)
{
  return { RefusalCause::StoreAway,
           Verdict::NotRun,
           std::string(aStatus.message()) };
}

JobRefused FateUnknown(const absl::Status& aStatus)
{
  return { RefusalCause::Unknown,
           Verdict::MayHaveRun,
           std::string(aStatus.message()) };
}

} // namespace foxtailbarrow::scheduler
