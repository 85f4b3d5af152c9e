#include "src/net/ConnectionRefused.h"

#include "absl/strings/cord.h"

namespace foxtailbarrow::net {

namespace {

constexpr char kPayloadUrl[] = "foxtailbarrow/connection";

} // namespace

absl::Status WithConnectionRefused(absl::Status aStatus)
{
  aStatus.SetPayload(kPayloadUrl, absl::Cord("refused"));
  return aStatus;
}

bool IsConnectionRefused(const absl::Status& aStatus)
{
  return aStatus.GetPayload(kPayloadUrl).has_value();
}

} // namespace foxtailbarrow::net
