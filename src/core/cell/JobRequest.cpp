#include "src/core/cell/JobRequest.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow::cell {

namespace {

constexpr EnumText<RefusalCause, 8> kCauses({
  { RefusalCause::NoSuchQueue, "no-such-queue" },
  { RefusalCause::BadRequest, "bad-request" },
  { RefusalCause::NotReady, "not-ready" },
  { RefusalCause::CellFull, "cell-full" },
  { RefusalCause::RateLimited, "rate-limited" },
  { RefusalCause::StoreUnavailable, "store-away" },
  { RefusalCause::Unsupported, "unsupported" },
  { RefusalCause::Unknown, "fate-unknown" },
});

} // namespace

std::string_view ToString(RefusalCause aCause)
{
  return kCauses.Text(aCause);
}

} // namespace foxtailbarrow::cell
