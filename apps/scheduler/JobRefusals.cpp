#include "apps/scheduler/JobRefusals.h"

#include <string>

namespace foxtailbarrow::scheduler {

using cell::JobRefused;
using cell::RefusalCause;

JobRefused StoreUnavailable(const absl::Status& aStatus)
{
  return { RefusalCause::StoreUnavailable,
           Verdict::NotRun,
           std::string(aStatus.message()) };
}

JobRefused OutcomeUnknown(const absl::Status& aStatus)
{
  return { RefusalCause::Unknown,
           Verdict::MayHaveRun,
           std::string(aStatus.message()) };
}

} // namespace foxtailbarrow::scheduler
