#include "apps/agent/ForwardedRequest.h"

#include <cstdint>
#include <string>

#include "absl/strings/numbers.h"

#include "foxtailbarrow/RequestHeaders.h"

namespace foxtailbarrow {

namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 60 * 60 * 1000;

std::string Text(const net::HttpHeaders& aHeaders, std::string_view aName)
{
  return std::string(aHeaders.Find(aName).value_or(""));
}

} // namespace

std::optional<ForwardedRequest> ParseForwarded(const net::HttpHeaders& aHeaders,
                                               Instant aNow,
                                               Duration aDefault)
{
  ForwardedRequest request;
  request.mId = RequestId(Text(aHeaders, kRequestIdHeader));
  if (request.mId.Empty() || request.mId.Value().size() > kMaxIdBytes) {
    return std::nullopt;
  }
  request.mDeadline = aNow + aDefault;
  if (const auto text = aHeaders.Find(kDeadlineHeader)) {
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(std::string(*text), &milliseconds) ||
        milliseconds < 0 || milliseconds > kMaxDeadlineMs) {
      return std::nullopt;
    }
    request.mDeadline = aNow + std::chrono::milliseconds(milliseconds);
  }
  if (std::string key = Text(aHeaders, kIdempotencyKeyHeader); !key.empty()) {
    if (key.size() > kMaxKeyBytes) {
      return std::nullopt;
    }
    request.mKey = IdempotencyKey{ CustomerId(Text(aHeaders, kCustomerHeader)),
                                   std::move(key) };
  }
  return request;
}

} // namespace foxtailbarrow
