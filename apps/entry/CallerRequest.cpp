#include "apps/entry/CallerRequest.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

#include "foxtailbarrow/RequestHeaders.h"
#include "src/telemetry/IdText.h"

namespace foxtailbarrow::entry {

namespace {

constexpr std::size_t kMaxIdBytes = 128;

/// Methods that HTTP defines as idempotent.
constexpr std::array<std::string_view, 6> kIdempotentMethods = {
  "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"
};

Refusal BadHeader(std::string_view aMessage)
{
  return { .mStatus = 400, .mVerdict = Verdict::NotRun, .mMessage = aMessage };
}

bool IsIdCharacter(char aChar)
{
  return absl::ascii_isalnum(static_cast<unsigned char>(aChar)) ||
         aChar == '.' || aChar == '_' || aChar == ':' || aChar == '-';
}

/// True for an id that is valid in messages between processes.
bool IsRequestId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxIdBytes &&
         std::ranges::all_of(aText, IsIdCharacter);
}

/// Visible ASCII, so that a key is safe in headers, logs and dumps.
bool IsIdempotencyKey(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxIdBytes &&
         std::ranges::all_of(
           aText, [](char aChar) { return aChar > ' ' && aChar <= '~'; });
}

} // namespace

std::variant<CallerRequest, Refusal> ReadCallerRequest(
  const net::HttpRequest& aRequest,
  const DeadlineLimits& aLimits,
  RequestId aGeneratedId,
  Instant aNow)
{
  CallerRequest request;
  const net::HttpHeaders& headers = aRequest.mHeaders;
  const auto customer = headers.Find(kCustomerHeader);
  if (!customer || !IsIdText(*customer)) {
    return BadHeader("Foxtailbarrow-Customer: allowed 1 to 63 of a-z, 0-9, -");
  }
  request.mCustomer = CustomerId(std::string(*customer));

  request.mId = std::move(aGeneratedId);
  if (const auto id = headers.Find(kRequestIdHeader)) {
    if (!IsRequestId(*id)) {
      return BadHeader(
        "Foxtailbarrow-Request-Id: allowed 1 to 128 of A-Z, a-z, 0-9, . _ : -");
    }
    request.mId = RequestId(std::string(*id));
  }
  if (const auto key = headers.Find(kIdempotencyKeyHeader)) {
    if (!IsIdempotencyKey(*key)) {
      return BadHeader(
        "Idempotency-Key: allowed 1 to 128 of A-Z, a-z, 0-9, . _ : -");
    }
    request.mIdempotencyKey = *key;
  }
  request.mIdempotent =
    std::ranges::find(kIdempotentMethods, aRequest.mMethod) !=
    kIdempotentMethods.end();
  if (const auto idempotent = headers.Find(kIdempotentHeader)) {
    if (*idempotent != "true" && *idempotent != "false") {
      return BadHeader("Foxtailbarrow-Idempotent: allowed true, false");
    }
    request.mIdempotent = *idempotent == "true";
  }
  Duration remaining = aLimits.mDefault;
  if (const auto text = headers.Find(kDeadlineHeader)) {
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(absl::string_view(text->data(), text->size()),
                          &milliseconds) ||
        milliseconds < 1 ||
        milliseconds > aLimits.mMax / std::chrono::milliseconds(1)) {
      return BadHeader("Foxtailbarrow-Deadline-Ms: allowed a whole number from "
                       "1 to the entry's longest deadline");
    }
    remaining = std::chrono::milliseconds(milliseconds);
  }
  request.mDeadline = aNow + remaining;
  return request;
}

} // namespace foxtailbarrow::entry
